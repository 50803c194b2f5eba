package hotrestart

import (
	"maps"

	"golang.org/x/sys/unix"

	"salttrack/balance"
)

// Override is an operator's latest setting of whether an upstream is disabled.
// Earlier versions of the program, called "older program" in the comments below, store no Version and compare overrides by SetAt.
type Override struct {
	Disabled    bool           `json:"out"`
	SetAt       balance.Millis `json:"at"`                // Unix time in ms
	Version     uint64         `json:"version,omitempty"` // the override with the highest version is in force; 0 from an older program
	SetAtUptime balance.Millis `json:"uptime,omitempty"`  // uptime of the machine in ms; 0 from an older program
}

// effectiveVersion returns the version by which overrides are compared.
// For an override of an older program it is the Unix time SetAt in ms. NextVersion exceeds that, too.
func (o Override) effectiveVersion() uint64 {
	if o.Version == 0 {
		return uint64(max(0, o.SetAt))
	}
	return o.Version
}

// supersedes reports whether the override replaces another one.
// If both have the same version, the one that disables the upstream supersedes the one that enables it.
func (o Override) supersedes(other Override) bool {
	if o.effectiveVersion() != other.effectiveVersion() {
		return o.effectiveVersion() > other.effectiveVersion()
	}
	return o.Disabled && !other.Disabled
}

// Age returns the time since the override was set, in ms, given the present uptime of the machine.
// It returns 0 if the age is unknown: for an override of an older program, or one whose uptime is higher than the present one,
// which means that it was set before the last boot. Such an override does not expire.
func (o Override) Age(uptime balance.Millis) balance.Millis {
	if o.SetAtUptime <= 0 || o.SetAtUptime > uptime {
		return 0
	}
	return uptime - o.SetAtUptime
}

// Merge copies overrides from one map into another, by the name of the upstream.
// It copies those that are new or supersede the present override of the same upstream, and calls changed for each of them.
func Merge(into, from map[string]Override, changed func(upstream string, o Override)) {
	for upstream, o := range from {
		if current, known := into[upstream]; known && !o.supersedes(current) {
			continue
		}
		into[upstream] = o
		changed(upstream, o)
	}
}

// NextVersion returns the version of an override that is set at a Unix time in ms. It is higher than all known versions.
// It is at least the Unix time, since that takes the place of the version in an override of an older program.
func NextVersion(known map[string]Override, at balance.Millis) uint64 {
	next := uint64(max(1, at))
	for _, o := range known {
		next = max(next, o.effectiveVersion()+1)
	}
	return next
}

// RemoveExpired removes the overrides that enable an upstream and whose age exceeds maxAge, in ms. By then all processes have applied them.
func RemoveExpired(overrides map[string]Override, uptime, maxAge balance.Millis) {
	maps.DeleteFunc(overrides, func(_ string, o Override) bool { return !o.Disabled && o.Age(uptime) > maxAge })
}

// Uptime returns the time since the boot of the machine in ms, or 0 if it is unknown.
// It is the same for all processes of the machine, and changes of the system time don't affect it.
func Uptime() balance.Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return float64(t.Nano()) / 1e6
}
