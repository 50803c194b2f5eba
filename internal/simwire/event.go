package simwire

import "fmt"

// InstanceID is the number of a balancer instance in the simulation.
type InstanceID uint16

// Codes of the events. The comments give the protocol's names for them.
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

// MaxEndpointLists is the maximum number of endpoint lists in use at the same time. They are numbered from 0.
const MaxEndpointLists = 16

// Event is an event that the simulator sends to an instance: a pointer to one of the event types of this package.
type Event interface {
	// decode sets the event's fields to those of a record.
	decode(r record) error
}

// eventBuffer holds one event of each type, so that decoding an event allocates no memory.
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

// forCode returns the event into which a record with a code is decoded, or nil if the code is unknown.
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

// InstanceStarted reports that an instance starts, without state from an earlier run.
type InstanceStarted struct {
	Seed     uint64 // of the instance's random number generator
	Settings []byte // path=value lines
}

func (e *InstanceStarted) decode(r record) (err error) {
	e.Seed = r.uint64(3)
	e.Settings, err = r.content(11, 1)
	return err
}

// InstanceKilled reports that an instance was killed.
type InstanceKilled struct{}

func (*InstanceKilled) decode(record) error { return nil }

// RequestArrived reports that an instance has received a request from a client.
type RequestArrived struct {
	Request      uint32
	Class        uint8
	Tenant       uint16
	Key          uint64  // idempotency key; 0 if the request has none
	ExpiresIn    float64 // ms until the client stops waiting
	ExpectedWork float64 // expected processing time in ms; only with HasExpectedWork
	Flags        RequestFlags
}

// RequestFlags is a set of properties of a request.
type RequestFlags uint8

// The flags of a request, which can be combined.
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

// ResponseStarted reports that an attempt has received the first part of a streamed response.
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

// AttemptEnded reports the outcome of an attempt.
type AttemptEnded struct {
	Request     uint32
	Attempt     uint16
	Upstream    uint32
	Outcome     OutcomeCode
	Elapsed     float64 // ms since the attempt was sent
	RequestDone bool    // whether the request now has its final response
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

// ClientCancelled reports that a request no longer needs a response,
// because its client has disconnected or its deadline has passed.
type ClientCancelled struct {
	Request uint32
}

func (e *ClientCancelled) decode(r record) error {
	e.Request = r.uint32(3)
	return nil
}

// TimerFired reports that a timer which Reply.SetTimer has set has expired.
type TimerFired struct {
	Timer uint64 // id that was passed to Reply.SetTimer
}

func (e *TimerFired) decode(r record) error {
	e.Timer = r.uint64(3)
	return nil
}

// HealthCheckResult reports the result of a health check of an upstream.
type HealthCheckResult struct {
	Outcome    OutcomeCode
	Elapsed    float64 // ms that the health check took
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

// GossipReceived reports a message from another instance.
type GossipReceived struct {
	Peer    uint32 // instance that sent the message
	Content []byte
}

func (e *GossipReceived) decode(r record) (err error) {
	e.Peer = r.uint32(3)
	e.Content, err = r.content(7, 1)
	return err
}

// EndpointUpdate reports an update of the endpoint list that an instance receives from discovery.
// Its endpoints are in the EndpointSnapshot that was sent last with the same list number.
type EndpointUpdate struct {
	ListNumber uint32 // number of the EndpointSnapshot
	Kind       UpdateKind
	Version    uint64 // version of the endpoint list
}

// UpdateKind is the kind of an endpoint update.
type UpdateKind uint8

// The kinds of endpoint updates.
const (
	Delta       UpdateKind = iota // the endpoints that have changed
	Complete                      // all endpoints
	Cached                        // all endpoints of the last known list, which may be outdated
	WatchFailed                   // no endpoints: a call to discovery failed or the watch was interrupted
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
