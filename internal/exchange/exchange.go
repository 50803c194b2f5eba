// Package exchange holds the state of a request that the client side and the upstream side share: the request, its
// attempts at upstreams, and its single final response. The package does no I/O and is independent of the protocol.
package exchange

import (
	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/invariant"
)

// Disposition is the state of an exchange: in progress, or the way in which it ended.
type Disposition uint8

// The dispositions of an exchange.
const (
	InProgress Disposition = iota // the exchange has not ended
	Served                        // the final response is that of an upstream
	Rejected                      // the final response tells the client that a retry of the request is safe
	Failed                        // the final response is an error, and an upstream may have executed the request
	Abandoned                     // the client disconnected before its response, or the rest of its body was rejected
)

var dispositionNames = [...]string{
	InProgress: "in_progress",
	Served:     "served",
	Rejected:   "rejected",
	Failed:     "failed",
	Abandoned:  "abandoned",
}

// String returns the name of a disposition in trace events.
func (d Disposition) String() string { return dispositionNames[d] }

// Response is the final response of an exchange.
type Response struct {
	Disposition    Disposition
	Body           []byte               // complete body of the upstream's response; only if Served and Stream is nil
	Stream         *bodystream.Stream   // body that is still being received; only if Served, in place of Body
	RetryAfter     balance.Millis       // delay after which the client should retry; only if Rejected; 0 for no advice
	InvalidRequest bool                 // an upstream found the request itself invalid; only if Failed
	Reason         balance.GiveUpReason // why the request was not served, for the trace; only if Rejected or Failed
}

// Client is the client connection on which a request was received.
type Client interface {
	// Respond sends the final response of an exchange. It is called at most once for an exchange,
	// and not at all if the exchange is abandoned.
	Respond(*Exchange, Response)
	// Connected reports whether the client is still connected. It checks the state of the connection at the time of the
	// call. If the client has disconnected, Connected reports this to the driver before it returns.
	Connected(*Exchange) bool
	// Deadline returns the time by which the final response of an exchange with an incomplete body has to be sent, as far
	// as it is known at the time of the call. It becomes later while the client is still sending.
	Deadline(*Exchange) balance.Millis
}

// Exchange is a request from a client, its attempts and its final response.
type Exchange struct {
	ID              balance.RequestID
	ClientRequestID string // id that the client gave to the request, for the trace
	Class           uint8
	ClassRules      *balance.Class // settings of the class at the time when the request arrived
	Tenant          uint16
	RespondBy       balance.Millis // deadline of the final response, by the clock of the event loop
	ClientDeadline  balance.Millis // time at which the client stops waiting, no earlier than RespondBy
	Message         any            // decoded request; only the protocol code of the client and upstream sides reads it
	MessageBytes    int            // memory of Message in bytes
	RetainedBytes   int            // the part of it that is counted for the exchange, as its client no longer waits
	Attempts        []*Attempt     // indexed by Attempt.Number

	// RequestBody is the streamed body of the request, nil if the body is buffered. Several attempts may read it in turn,
	// so it belongs to the exchange, which abandons it when no attempt can read it any more.
	RequestBody    *bodystream.Stream
	BodyIncomplete bool // the body of the request is still being received
	BodySent       bool // a part of a streamed body was sent and is no longer stored, so a retry is impossible

	client       Client // nil after the exchange has ended
	disposition  Disposition
	openAttempts int // number of attempts that have not ended
}

// Attempt is one attempt to get a request executed by an upstream.
type Attempt struct {
	Exchange        *Exchange
	Number          int // index in Exchange.Attempts
	Upstream        balance.UpstreamID
	SentAt          balance.Millis // time at which the attempt began, which may be before its connection was established
	TimeoutAt       balance.Millis // time at which the attempt times out
	SendBy          balance.Millis // the last byte of the request must not be written at this time or later; 0 for no limit
	RequestComplete bool           // the request was written completely, so the upstream may have executed it
	BlockedSince    balance.Millis // since when the upstream has read nothing of the unsent part of the request; 0 if it can be sent
	Ended           bool
	NeverRan        bool // the outcome proves that the upstream did not execute the request
}

// Result is the result of an attempt that has ended.
type Result struct {
	Outcome          balance.Outcome
	Body             []byte  // complete response body; only if the outcome is OK
	LoadReported     bool    // the response contained a load report
	ReportedInFlight float64 // number of requests in flight at the upstream according to the load report
}

// New returns an exchange in progress for a request that a client has sent. It has no attempts.
func New(client Client, message any) *Exchange {
	return &Exchange{client: client, Message: message}
}

// Disposition returns the way in which the exchange ended, or InProgress.
func (x *Exchange) Disposition() Disposition { return x.disposition }

// Sendable reports whether an attempt may still be sent: the exchange must be in progress and its client connected.
func (x *Exchange) Sendable() bool {
	if x.disposition != InProgress || !x.client.Connected(x) {
		return false
	}
	return x.disposition == InProgress
}

// Deadline returns the time by which the final response has to be sent. For an exchange in progress whose body is incomplete
// it is the earliest such time, as far as it is known now.
func (x *Exchange) Deadline() balance.Millis {
	if x.BodyIncomplete && x.disposition == InProgress {
		return x.client.Deadline(x)
	}
	return x.RespondBy
}

// Finished reports whether the exchange has ended and has no attempts in flight.
func (x *Exchange) Finished() bool { return x.disposition != InProgress && x.openAttempts == 0 }

// NeverRan reports whether it is certain that no upstream has executed the request.
// It returns false while an attempt is in flight.
func (x *Exchange) NeverRan() bool {
	for _, a := range x.Attempts {
		if !a.NeverRan {
			return false
		}
	}
	return true
}

// Respond ends the exchange. It sends the final response to the client unless the disposition is Abandoned.
// Only the first call has an effect and returns true.
func (x *Exchange) Respond(response Response) bool {
	invariant.Check(response.Disposition != InProgress, "a final response has a final disposition")
	if x.disposition != InProgress {
		return false
	}
	x.disposition = response.Disposition
	if response.Disposition != Abandoned {
		x.client.Respond(x, response)
	}
	x.client = nil
	x.releaseRequestBody()
	return true
}

// BeginAttempt adds an attempt in flight.
func (x *Exchange) BeginAttempt(upstream balance.UpstreamID, now, timeoutAt balance.Millis) *Attempt {
	invariant.Check(x.disposition == InProgress, "no attempt begins after the final response")
	a := &Attempt{
		Exchange:  x,
		Number:    len(x.Attempts),
		Upstream:  upstream,
		SentAt:    now,
		TimeoutAt: timeoutAt,
	}
	x.Attempts = append(x.Attempts, a)
	x.openAttempts++
	return a
}

// InSendWindow reports whether bytes of the request may be written at a time.
func (a *Attempt) InSendWindow(now balance.Millis) bool { return a.SendBy == 0 || now < a.SendBy }

// AddUnsentAttempt adds an attempt that has ended without having been sent, because the exchange had ended.
func (x *Exchange) AddUnsentAttempt(upstream balance.UpstreamID) *Attempt {
	a := &Attempt{
		Exchange: x,
		Number:   len(x.Attempts),
		Upstream: upstream,
		Ended:    true,
		NeverRan: true,
	}
	x.Attempts = append(x.Attempts, a)
	return a
}

// EndAttempt ends an attempt. neverRan says whether the outcome proves that the upstream did not execute the request.
// Only the first call for an attempt has an effect and returns true.
func (x *Exchange) EndAttempt(a *Attempt, neverRan bool) bool {
	if a.Ended {
		return false
	}
	a.Ended = true
	a.NeverRan = neverRan
	x.openAttempts--
	invariant.Check(x.openAttempts >= 0, "the number of attempts in flight is not negative")
	x.releaseRequestBody()
	return true
}

// releaseRequestBody abandons a streamed request body once the exchange has ended and has no attempts in flight.
// Otherwise the buffer that holds its unread bytes would never be returned to the pool.
func (x *Exchange) releaseRequestBody() {
	if x.RequestBody != nil && x.Finished() {
		x.RequestBody.Abandon()
	}
}
