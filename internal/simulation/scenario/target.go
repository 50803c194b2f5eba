package scenario

import (
	"fmt"
	"slices"
	"strings"

	"salttrack/internal/simulation/names"
)

// TargetKind is the kind of target that a fault type has.
type TargetKind uint8

// All kinds of targets. For fault types with NoTarget, Fault.Target has to be empty.
const (
	NoTarget TargetKind = iota
	UpstreamTarget
	BalancerTarget
	ZonePairTarget
)

// zonePairSeparator separates the two zones in Fault.Target.
const zonePairSeparator = "|"

// Upstream returns the tier and the number of the upstream that is the target of the fault.
// It returns an error if the target does not have the form of an upstream's name.
func (f *Fault) Upstream() (tier, number int, err error) {
	_, err = fmt.Sscanf(f.Target, names.UpstreamName, &tier, &number)
	return tier, number, err
}

// Balancer returns the number of the balancer that is the target of the fault.
// It returns an error if the target does not have the form of a balancer's name.
func (f *Fault) Balancer() (number int, err error) {
	_, err = fmt.Sscanf(f.Target, names.BalancerName, &number)
	return number, err
}

// Zones returns the two zones that are the target of the fault. If the target has no separator, ok is false.
func (f *Fault) Zones() (a, b string, ok bool) { return strings.Cut(f.Target, zonePairSeparator) }

// checkTarget returns the reason why the target of a fault is invalid, or "" if it is valid.
func (c *Cluster) checkTarget(f *Fault, kind TargetKind) string {
	switch kind {
	case UpstreamTarget:
		return c.checkUpstream(f)
	case BalancerTarget:
		return c.checkBalancer(f)
	case ZonePairTarget:
		return c.checkZonePair(f)
	}
	if f.Target != "" {
		return fmt.Sprintf("fault type %s takes no target", f.Type)
	}
	return ""
}

func (c *Cluster) checkUpstream(f *Fault) string {
	tier, number, err := f.Upstream()
	if err != nil || tier < 0 || tier >= c.Tiers || number < 0 || number >= c.Upstreams {
		return fmt.Sprintf("%q is not an upstream; allowed are u0-0 to u%d-%d", f.Target, c.Tiers-1, c.Upstreams-1)
	}
	return ""
}

func (c *Cluster) checkBalancer(f *Fault) string {
	number, err := f.Balancer()
	if err != nil || number < 0 || number >= c.Balancers {
		return fmt.Sprintf("%q is not a balancer; allowed are b0 to b%d", f.Target, c.Balancers-1)
	}
	return ""
}

func (c *Cluster) checkZonePair(f *Fault) string {
	a, b, ok := f.Zones()
	if !ok || a == b || !slices.Contains(c.Zones, a) || !slices.Contains(c.Zones, b) {
		return fmt.Sprintf("%q is not a pair of zones; allowed are two of %s, separated by %q", f.Target,
			strings.Join(c.Zones, ", "), zonePairSeparator)
	}
	return ""
}
