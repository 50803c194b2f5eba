package downstream

import (
	"fmt"

	"salttrack/internal/counter"
	"salttrack/internal/http1"
)

// responseStatuses are the status codes of the responses that this package sends.
var responseStatuses = [...]int{
	http1.StatusOK,
	http1.StatusBadRequest,
	http1.StatusNotFound,
	http1.StatusMethodNotAllowed,
	http1.StatusRequestTimeout,
	http1.StatusConflict,
	http1.StatusContentTooLarge,
	http1.StatusExpectationFailed,
	http1.StatusHeaderFieldsTooLarge,
	http1.StatusNotImplemented,
	http1.StatusBadGateway,
	http1.StatusServiceUnavailable,
	http1.StatusVersionNotSupported,
}

type counters struct {
	disconnectedBeforeAttempt *counter.Counter         // clients that were found disconnected when an attempt was about to be sent
	requestsStreamed          *counter.Counter         // requests with a streamed body
	connectionsAccepted       *counter.Counter         // accepted connections, overflow connections included
	requests                  *counter.Counter         // requests for paths that the balancer does not serve itself
	readinessChecks           *counter.Counter         // GET requests for readinessPath
	requestsMalformed         *counter.Counter         // requests that were malformed, not allowed, too slow, or incomplete in a shutdown
	connectionsShed           *counter.Counter         // idle connections that were closed to free a descriptor
	overflowRejected          *counter.Counter         // requests that were rejected on overflow connections
	memoryRejected            *counter.Counter         // requests that were rejected for lack of memory
	memoryClosed              *counter.Counter         // connections that were closed for lack of memory
	shutdownRejected          *counter.Counter         // complete requests that were rejected because of a shutdown
	acceptPauses              *counter.Counter         // calls of pauseAccepting
	connectionsBroken         *counter.Counter         // connections that failed, whose client did not read in time, or whose response was truncated
	requestsTimedOut          *counter.Counter         // requests whose head or body arrived too slowly
	requestsExpired           *counter.Counter         // requests whose remaining time passed while bytes of their streamed body were unread
	connectionsIdleClosed     *counter.Counter         // connections that were closed after a timeout without a request
	responses                 map[int]*counter.Counter // responses by status code
}

// newCounters registers the counters of this package in a set.
func newCounters(set *counter.Set) counters {
	c := counters{
		disconnectedBeforeAttempt: set.New("client_disconnected_before_attempt"),
		requestsStreamed:          set.New("client_requests_streamed"),
		connectionsAccepted:       set.New("client_connections_accepted"),
		requests:                  set.New("client_requests"),
		readinessChecks:           set.New("readiness_checks"),
		requestsMalformed:         set.New("requests_malformed"),
		connectionsShed:           set.New("client_connections_shed"),
		overflowRejected:          set.New("client_overflow_rejected"),
		memoryRejected:            set.New("client_memory_rejected"),
		memoryClosed:              set.New("client_memory_closed"),
		shutdownRejected:          set.New("client_shutdown_rejected"),
		acceptPauses:              set.New("client_accept_pauses"),
		connectionsBroken:         set.New("client_connections_broken"),
		requestsTimedOut:          set.New("client_requests_timed_out"),
		requestsExpired:           set.New("client_requests_expired"),
		connectionsIdleClosed:     set.New("client_connections_idle_closed"),
		responses:                 map[int]*counter.Counter{},
	}
	for _, status := range responseStatuses {
		c.responses[status] = set.New(fmt.Sprintf("responses_%d", status))
	}
	return c
}
