package simwire

import "fmt"

// InstanceID is the number of an instance in the simulation.
type InstanceID uint16

// Codes of the events. The comments are the protocol's names.
const (
	codeInstanceStarted   = 10  // POWER_ON
	codeEndpointUpdate    = 20  // ANNOUNCE
	codeRequestArrived    = 30  // SUBMIT
	codeResponseStarted   = 40  // ESTABLISHED
	codeAttemptEnded      = 50  // ATTEMPT_END
	codeClientCancelled   = 60  // LEFT
	codeTimerFired        = 70  // BELL
	codeHealthCheckResult = 80  // STATUS_BACK
	codeGossipReceived    = 90  // HEARD
	codeInstanceKilled    = 100 // KILLED
	codeEndpointSnapshot  = 110 // INVENTORY
)

// MaxEndpointLists is how many endpoint lists may be numbered at the same time.
const MaxEndpointLists = 16

// Event is a pointer to one of the event types of this package.
type Event interface {
	decode(r record) error
}

// eventBuffer holds an event of each type, so that decoding allocates nothing.
type eventBuffer struct {
	instanceStarted   InstanceStarted
	endpointUpdate    EndpointUpdate
	requestArrived    RequestArrived
	responseStarted   ResponseStarted
	attemptEnded      AttemptEnded
	clientCancelled   ClientCancelled
	timerFired        TimerFired
	healthCheckResult HealthCheckResult
	gossipReceived    GossipReceived
	instanceKilled    InstanceKilled
	endpointSnapshot  EndpointSnapshot
}

// forCode returns the event to decode a record of a code into, nil if the code is unknown.
func (b *eventBuffer) forCode(code uint8) Event {
	switch code {
	case codeInstanceStarted:
		return &b.instanceStarted
	case codeEndpointUpdate:
		return &b.endpointUpdate
	case codeRequestArrived:
		return &b.requestArrived
	case codeResponseStarted:
		return &b.responseStarted
	case codeAttemptEnded:
		return &b.attemptEnded
	case codeClientCancelled:
		return &b.clientCancelled
	case codeTimerFired:
		return &b.timerFired
	case codeHealthCheckResult:
		return &b.healthCheckResult
	case codeGossipReceived:
		return &b.gossipReceived
	case codeInstanceKilled:
		return &b.instanceKilled
	case codeEndpointSnapshot:
		return &b.endpointSnapshot
	default:
		return nil
	}
}

// InstanceStarted says that an instance starts without any state.
type InstanceStarted struct {
	Seed     uint64 // of the random numbers of the instance
	Settings []byte // path=value lines
}

func (e *InstanceStarted) decode(r record) (err error) {
	e.Seed = r.uint64(3)
	e.Settings, err = r.content(11, 1)
	return err
}

// InstanceKilled says that an instance is gone.
type InstanceKilled struct{}

func (*InstanceKilled) decode(record) error { return nil }

// RequestArrived says that a client's request has reached an instance.
type RequestArrived struct {
	Request      uint32
	Class        uint8
	Tenant       uint16
	Key          uint64  // 0: none
	ExpiresIn    float64 // ms until the client gives up
	ExpectedWork float64 // ms
	Flags        RequestFlags
}

// RequestFlags are properties of a request.
type RequestFlags uint8

// The flags of a request.
const (
	HasExpectedWork RequestFlags = 1 << iota
	IsClientRetry
	IsWrite
)

func (e *RequestArrived) decode(r record) error {
	*e = RequestArrived{
		Request:      r.uint32(3),
		Class:        r.uint8(7),
		Tenant:       r.uint16(8),
		Key:          r.uint64(10),
		ExpiresIn:    r.float64(18),
		ExpectedWork: r.float64(26),
		Flags:        RequestFlags(r.uint8(34)),
	}
	return nil
}

// ResponseStarted says that the response of an attempt has begun to stream.
type ResponseStarted struct {
	Request  uint32
	Attempt  uint16
	Upstream uint32
	Elapsed  float64 // ms since the attempt was sent
}

func (e *ResponseStarted) decode(r record) error {
	*e = ResponseStarted{
		Request:  r.uint32(3),
		Attempt:  r.uint16(7),
		Upstream: r.uint32(9),
		Elapsed:  r.float64(13),
	}
	return nil
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Request     uint32
	Attempt     uint16
	Upstream    uint32
	Outcome     OutcomeCode
	Elapsed     float64 // ms since the attempt was sent
	RequestDone bool    // this was the final answer
	LoadReport  LoadReport
}

func (e *AttemptEnded) decode(r record) (err error) {
	*e = AttemptEnded{
		Request:     r.uint32(3),
		Attempt:     r.uint16(7),
		Upstream:    r.uint32(9),
		Outcome:     OutcomeCode(r.uint16(13)),
		Elapsed:     r.float64(15),
		RequestDone: r.uint8(23) != 0,
	}
	e.LoadReport, err = r.loadReport(24)
	return err
}

// ClientCancelled says that the client of a request is gone, or that its final answer is overdue.
type ClientCancelled struct {
	Request uint32
}

func (e *ClientCancelled) decode(r record) error {
	e.Request = r.uint32(3)
	return nil
}

// TimerFired says that a timer has expired.
type TimerFired struct {
	Timer uint64
}

func (e *TimerFired) decode(r record) error {
	e.Timer = r.uint64(3)
	return nil
}

// HealthCheckResult is the result of a health check of an upstream.
type HealthCheckResult struct {
	Outcome    OutcomeCode
	Elapsed    float64 // ms
	Upstream   uint32
	LoadReport LoadReport
}

func (e *HealthCheckResult) decode(r record) (err error) {
	e.Outcome = OutcomeCode(r.uint16(3))
	e.Elapsed = r.float64(5)
	e.Upstream = r.uint32(13)
	e.LoadReport, err = r.loadReport(17)
	return err
}

// GossipReceived is a message from another instance.
type GossipReceived struct {
	Peer    uint32
	Content []byte
}

func (e *GossipReceived) decode(r record) (err error) {
	e.Peer = r.uint32(3)
	e.Content, err = r.content(7, 1)
	return err
}

// EndpointUpdate refers to the endpoint list that an instance receives from discovery.
type EndpointUpdate struct {
	ListNumber uint32 // number of the EndpointSnapshot that has the endpoints
	Kind       UpdateKind
	Version    uint64
}

// UpdateKind says how an endpoint list relates to the one that an instance has.
type UpdateKind uint8

// The kinds of updates.
const (
	Delta       UpdateKind = iota // the changed endpoints
	Complete                      // all endpoints
	Cached                        // all endpoints as they were known last, which may be outdated
	WatchFailed                   // no endpoints: a call of discovery failed or the watch was interrupted
)

func (e *EndpointUpdate) decode(r record) error {
	e.ListNumber = r.uint32(3)
	e.Kind = UpdateKind(r.uint8(7))
	e.Version = r.uint64(8)
	if e.Kind > WatchFailed {
		return fmt.Errorf("%w %d", ErrUnknownUpdateKind, e.Kind)
	}
	return nil
}
