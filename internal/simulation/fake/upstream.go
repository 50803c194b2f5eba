package fake

import (
	"net/netip"

	"salttrack/internal/simulation/names"
	"salttrack/internal/simulation/randstream"
)

// UpstreamFaults are the active faults of an upstream.
type UpstreamFaults struct {
	Slowdown          float64 // multiplies all service times; values below 1 have no effect
	Hanging           bool    // requests never get a response
	Rejecting         bool    // all requests are rejected with status 503
	ErrorFraction     float64 // fraction of executed requests that get status 500
	CorruptFraction   float64 // fraction of responses that are corrupted
	ExtraDataFraction float64 // fraction of responses that are followed by extra data
	CostFactor        float64 // multiplies the cost of costly requests, 0 for no costly requests
	CostlyFraction    float64 // fraction of requests that are costly
}

// NextTier makes the calls of an upstream to the next tier.
type NextTier interface {
	// Call makes the calls for a request whose deadline is in remaining ms. It passes to onDone whether all were served.
	Call(requestID string, remaining float64, onDone func(served bool))
	// Abandon cancels the calls for a request. Its onDone is not called.
	Abandon(requestID string)
}

// UpstreamOptions are the parameters of an upstream.
type UpstreamOptions struct {
	Host         Host
	ID           string
	Zone         string
	Listen       netip.AddrPort
	Seed         uint64
	Model        ServiceModel
	Classes      []string      // names of the classes, by index
	ServiceTimes []ServiceTime // by index of the class
	Idempotency  *IdempotencyStore
	Recorder     Recorder
	Faults       *UpstreamFaults
	LoadReports  bool     // responses contain a load report
	StartWarm    bool     // the upstream has full capacity from the start
	NextTier     NextTier // nil on the last tier
	OnCrash      func()   // called when overload crashes the upstream during its warm-up
}

// Upstream is an upstream process.
type Upstream struct {
	UpstreamOptions
	listener      *listener
	service       service
	rng           Stream
	faultStreams  map[string]Stream // by name
	draining      bool              // requests are rejected
	responseCount int               // response bodies produced so far
}

// NewUpstream starts an upstream. It returns an error if the upstream can't listen.
func NewUpstream(o UpstreamOptions) (*Upstream, error) {
	lp := o.Host.Loop()
	u := &Upstream{
		UpstreamOptions: o,
		rng:             randstream.New(o.Seed, names.UpstreamStream+o.ID),
		faultStreams:    map[string]Stream{},
	}
	u.service = service{
		model:     o.Model,
		startedAt: lp.Now(),
		now:       lp.Now,
		after:     func(ms float64, callback func()) { lp.After(ms, callback) },
	}
	if o.StartWarm {
		u.service.startedAt -= o.Model.WarmUpDuration
	}
	var err error
	u.listener, err = listen(o.Host, o.Listen, u.accept)
	return u, err
}

// Drain makes the upstream reject requests that arrive later than grace, in ms, from now. It finishes earlier ones.
func (u *Upstream) Drain(grace float64) {
	u.Host.Loop().After(grace, func() { u.draining = true })
}

// CloseListener stops accepting connections. Open connections are not closed.
func (u *Upstream) CloseListener() { u.listener.close() }

// faultStream returns the random stream of one fault. Each fault has its own, so that an active fault does not shift the
// draws of other streams.
func (u *Upstream) faultStream(name string) Stream {
	stream, ok := u.faultStreams[name]
	if !ok {
		stream = randstream.New(u.Seed, names.UpstreamFaultStream+name+"/"+u.ID)
		u.faultStreams[name] = stream
	}
	return stream
}

// drawCost draws the cost of a request of a class, in ms of one core at full speed.
func (u *Upstream) drawCost(class int) float64 {
	cost := u.ServiceTimes[class].Mean * u.rng.LognormalFactor(u.ServiceTimes[class].CV)
	if u.Faults.CostFactor > 0 && u.faultStream(names.CostlyRequestStream).Chance(u.Faults.CostlyFraction) {
		cost *= u.Faults.CostFactor
	}
	return cost
}

// crash is called when overload crashes the upstream during its warm-up. OnCrash ends the process.
func (u *Upstream) crash() {
	u.Recorder.WarmingUpstreamCrashed(u.ID, u.service.startedAt, u.Host.Loop().Now())
	if u.OnCrash != nil {
		u.OnCrash()
	}
}
