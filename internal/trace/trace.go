// Package trace writes one structured log line for each event of a request or a connection,
// for example an attempt that was sent or a connection that was closed.
// Tracing is disabled at the start and can be enabled at run time.
// The rate of lines is limited, and suppressed lines are counted. All methods have to be called on the event loop.
package trace

import (
	"salttrack/balance"
	"salttrack/internal/counter"

	"github.com/sirupsen/logrus"
)

// Parameters of the token bucket that limits the rate of log lines.
const (
	linesPerSecond = 2000.0
	maxBurstLines  = 4000.0
)

// EventKind is the kind of an event, and the message of its log line.
type EventKind string

// Kinds of events.
const (
	ConnectionAccepted EventKind = "connection accepted" // a connection from a client was accepted
	ConnectionClosed   EventKind = "connection closed"   // a connection to a client or an upstream was closed
	UpstreamConnected  EventKind = "upstream connected"
	RequestAccepted    EventKind = "request accepted" // a request was passed to the balancing decisions
	RequestRejected    EventKind = "request rejected" // a request was rejected before it reached the balancing decisions
	AttemptSent        EventKind = "attempt sent"
	AttemptEnded       EventKind = "attempt ended"
	ResponseSent       EventKind = "response sent" // the final response was sent, or the client disconnected before that
)

// Names of the fields of a log line.
const (
	requestField     = "request"
	classField       = "class"
	upstreamField    = "upstream"
	attemptField     = "attempt"
	connectionField  = "connection"
	statusField      = "status"
	outcomeField     = "outcome"
	reasonField      = "reason"
	remainingMSField = "remaining_ms"
	elapsedMSField   = "elapsed_ms"
	suppressedField  = "suppressed"
)

// Reason is the reason why a connection was closed, or why a request was rejected or failed.
type Reason string

// Event has the fields of one log line. Fields with the zero value are omitted.
type Event struct {
	Request     string // request id that the client has set
	Class       string // name of the request class
	Upstream    balance.UpstreamID
	Attempt     int    // number of the attempt of the request, counted from 1
	Connection  int    // file descriptor of the connection
	Status      int    // HTTP status of a rejected request
	Outcome     string // outcome of the attempt or the request
	Reason      Reason
	RemainingMS float64 // time until the deadline of the response, in ms
	ElapsedMS   float64 // time since the attempt was sent, in ms
}

// Tracer writes events to a log. A nil Tracer is disabled.
type Tracer struct {
	log        *logrus.Entry
	now        func() balance.Millis
	enabled    bool
	tokens     float64        // number of lines that the token bucket allowed at lastRefill
	lastRefill balance.Millis // time at which tokens were last added
	suppressed *counter.Counter

	// UpstreamName returns the name of an upstream in the endpoint list.
	UpstreamName func(balance.UpstreamID) string
}

// New returns a disabled tracer.
func New(log *logrus.Entry, now func() balance.Millis, counters *counter.Set) *Tracer {
	return &Tracer{
		log:          log,
		now:          now,
		tokens:       maxBurstLines,
		lastRefill:   now(),
		suppressed:   counters.New("trace_suppressed"),
		UpstreamName: func(balance.UpstreamID) string { return "" },
	}
}

// SetEnabled enables or disables tracing, and logs the change.
func (t *Tracer) SetEnabled(enabled bool) { //revive:disable-line:flag-parameter it is the value that is set
	if t.enabled == enabled {
		return
	}
	t.enabled = enabled
	message := "request trace disabled"
	if enabled {
		message = "request trace enabled"
	}
	t.log.WithField(suppressedField, t.suppressed.Value()).Info(message)
}

// Enabled reports whether events are written.
// Callers check it before they build an Event, so that a disabled trace costs nothing.
func (t *Tracer) Enabled() bool { return t != nil && t.enabled }

// Write writes an event, unless the rate limit suppresses it.
func (t *Tracer) Write(kind EventKind, event Event) {
	if !t.Enabled() || !t.allow() {
		return
	}
	t.log.WithFields(t.fields(event)).Info(string(kind))
}

// allow takes a token for one line. If there is none, it counts the line as suppressed and returns false.
func (t *Tracer) allow() bool {
	now := t.now()
	t.tokens = min(maxBurstLines, t.tokens+(now-t.lastRefill)*linesPerSecond/1000)
	t.lastRefill = now
	if t.tokens < 1 {
		t.suppressed.Inc()
		return false
	}
	t.tokens--
	return true
}

// fields returns the fields of an event that do not have the zero value.
func (t *Tracer) fields(event Event) logrus.Fields {
	fields := logrus.Fields{}
	for _, text := range [...]struct{ name, value string }{
		{requestField, event.Request},
		{classField, event.Class},
		{outcomeField, event.Outcome},
		{reasonField, string(event.Reason)},
	} {
		if text.value != "" {
			fields[text.name] = text.value
		}
	}
	for _, number := range [...]struct {
		name  string
		value float64
	}{
		{attemptField, float64(event.Attempt)},
		{connectionField, float64(event.Connection)},
		{statusField, float64(event.Status)},
		{remainingMSField, event.RemainingMS},
		{elapsedMSField, event.ElapsedMS},
	} {
		if number.value != 0 {
			fields[number.name] = number.value
		}
	}
	if event.Upstream != 0 {
		fields[upstreamField] = t.UpstreamName(event.Upstream)
	}
	return fields
}
