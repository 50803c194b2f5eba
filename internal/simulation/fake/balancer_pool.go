package fake

import (
	"net/http"

	"salttrack/internal/http1"
	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
	"salttrack/internal/timer"
)

// Intervals and timeout of readiness checks, in ms.
const (
	checkIntervalOutOfRotation = 150.0
	checkIntervalInRotation    = 1000.0
	readinessTimeout           = 1000.0
)

const readinessRequest = "GET /-/ready HTTP/1.1\r\nHost: b.svc\r\nConnection: close\r\n\r\n"

// BalancerPool distributes the requests of a zone's clients among balancers.
// A passed readiness check puts a balancer in rotation, and a failed one takes it out.
type BalancerPool struct {
	host    Host
	rng     Stream
	members []*poolMember
}

// poolMember is one balancer of a pool.
type poolMember struct {
	BalancerAddress
	sameZone   bool
	inRotation bool
	restarting bool // results of readiness checks are ignored until Restarted is called
}

// NewBalancerPool returns a pool without balancers.
func NewBalancerPool(host Host, seed uint64) *BalancerPool {
	return &BalancerPool{host: host, rng: randstream.New(seed, names.BalancerPoolStream+host.Name())}
}

// AddSameZone adds a balancer in the clients' zone.
func (p *BalancerPool) AddSameZone(address BalancerAddress) {
	p.add(&poolMember{BalancerAddress: address, sameZone: true})
}

// AddOtherZone adds a balancer in another zone. It gets requests only while no balancer in the clients' zone is in rotation.
func (p *BalancerPool) AddOtherZone(address BalancerAddress) {
	p.add(&poolMember{BalancerAddress: address})
}

func (p *BalancerPool) add(member *poolMember) {
	p.members = append(p.members, member)
	p.checkReadiness(member)
}

// ExpectRestart takes a balancer out of rotation after delay, in ms.
// The balancer is back in rotation once Restarted has been called and a readiness check has passed after that.
func (p *BalancerPool) ExpectRestart(name string, delay float64) {
	for _, member := range p.members {
		if member.Name == name {
			p.host.Loop().After(delay, func() {
				member.inRotation = false
				member.restarting = true
			})
		}
	}
}

// Restarted marks a balancer as restarted: the results of its readiness checks are no longer ignored.
func (p *BalancerPool) Restarted(name string) {
	for _, member := range p.members {
		if member.Name == name {
			member.restarting = false
		}
	}
}

// Select returns a random balancer in rotation. It returns one in another zone only if none in the clients' zone is in
// rotation, and false if none at all is in rotation.
func (p *BalancerPool) Select() (BalancerAddress, bool) {
	draw := p.rng.Uint64() // drawn even if no balancer is in rotation, so that later draws do not shift
	candidates := p.inRotation(func(m *poolMember) bool { return m.sameZone })
	if len(candidates) == 0 {
		candidates = p.inRotation(func(*poolMember) bool { return true })
	}
	if len(candidates) == 0 {
		return BalancerAddress{}, false
	}
	return candidates[draw%uint64(len(candidates))].BalancerAddress, true
}

// inRotation returns the members in rotation for which match returns true.
func (p *BalancerPool) inRotation(match func(*poolMember) bool) []*poolMember {
	var list []*poolMember
	for _, member := range p.members {
		if member.inRotation && match(member) {
			list = append(list, member)
		}
	}
	return list
}

// readinessCheck is one readiness check of a balancer. It owns its connection and its timeout, and ends both in finish.
type readinessCheck struct {
	pool     *BalancerPool
	member   *poolMember
	conn     *conn
	decoder  *http1.ResponseDecoder
	timeout  *timer.Timer
	finished bool
}

// checkReadiness starts a readiness check of a balancer. The check schedules the next one when it ends.
func (p *BalancerPool) checkReadiness(member *poolMember) {
	check := &readinessCheck{pool: p, member: member, decoder: http1.NewResponseDecoder(nil)}
	conn, err := dial(p.host, member.Addr)
	if err != nil {
		check.fail()
		return
	}
	check.conn = conn
	conn.onData = check.onData
	conn.onClosed = func(error) { check.fail() }
	check.timeout = p.host.Loop().After(readinessTimeout, check.fail)
	conn.send([]byte(readinessRequest))
}

func (r *readinessCheck) onData(data []byte) {
	_, err := r.decoder.Feed(data)
	switch {
	case err != nil:
		r.fail()
	case !r.decoder.Complete():
	case r.decoder.Response().Status == http.StatusOK:
		r.pass()
	default:
		r.fail()
	}
}

func (r *readinessCheck) pass() {
	r.finish(func() { r.member.inRotation = true })
}

func (r *readinessCheck) fail() {
	r.finish(func() { r.member.inRotation = false })
}

// finish ends the check and schedules the next one. It calls apply unless the balancer is restarting.
// Only the first call has an effect.
func (r *readinessCheck) finish(apply func()) {
	if r.finished {
		return
	}
	r.finished = true
	r.pool.host.Loop().Timers.Stop(r.timeout)
	if r.conn != nil {
		r.conn.close()
	}
	if !r.member.restarting {
		apply()
	}
	interval := checkIntervalOutOfRotation
	if r.member.inRotation {
		interval = checkIntervalInRotation
	}
	jitter := 0.9 + 0.2*r.pool.rng.Float64()
	r.pool.host.Loop().After(interval*jitter, func() { r.pool.checkReadiness(r.member) })
}
