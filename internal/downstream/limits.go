package downstream

import "salttrack/balance"

// Timeouts of a client connection, in milliseconds.
const (
	// idleTimeout is how long a connection may be idle between two requests.
	idleTimeout balance.Millis = 15000

	// requestTimeout is how long a client may take to send the head of a request.
	// It counts from the first byte of the head. For the first request of a connection it counts from the accept.
	requestTimeout balance.Millis = 2500

	// bodyProgressInterval is the interval in which a client has to send minBodyBytesPerInterval of a request body, or the rest of it.
	bodyProgressInterval balance.Millis = 2500

	// responseWriteTimeout is how long a client may take to read a complete response.
	// For a streamed response it is how long the client may read nothing while unsent bytes are available.
	responseWriteTimeout balance.Millis = 15000

	// stallCheckInterval is the minimum interval between two checks whether the client reads a streamed response.
	stallCheckInterval balance.Millis = 1500

	// lingerTimeout is how long the server discards input after the last response of a connection.
	lingerTimeout balance.Millis = 1000

	// incompleteRequestLinger replaces lingerTimeout if the response was sent before the request was received completely.
	incompleteRequestLinger balance.Millis = 10000

	// overflowTimeout is how long a client may take to send the first byte, or the next bytes, of a request on an overflow connection.
	overflowTimeout balance.Millis = 1000
)

// Deadlines of requests.
const (
	// incompleteRequestDeadline is the deadline of a request with a streamed body, in milliseconds from the start of its exchange.
	// When the last byte of the body has arrived, the deadline that the client has given replaces it.
	// Before that, requestStream.checkDeadline ends the request if its remaining time has passed while bytes of it were unread.
	incompleteRequestDeadline balance.Millis = 3600e3

	// minDeadlineCheckInterval is the minimum interval between two checks of a request that is still being received, in milliseconds.
	minDeadlineCheckInterval balance.Millis = 25

	// responseMarginDivisor limits the response margin to a tenth of the remaining time that the client has given.
	responseMarginDivisor = 10
)

// Limits on reading, so that one client does not delay the others.
const (
	readBufferBytes         = 16 << 10 // size of the read buffer in bytes
	maxRequestsPerResume    = 64       // maximum number of requests that were read before and are decoded in one turn of the event loop
	shortReadBytes          = 4 << 10  // size of a read in bytes while bodies are not buffered for lack of memory
	shortestReadBytes       = 1 << 10  // the same while long heads are rejected for lack of memory
	maxRequestsPerTurn      = 256      // the same for all connections together
	maxReadsPerTurn         = 16       // maximum number of reads from one connection in one turn of the event loop
	minBodyBytesPerInterval = 16 << 10 // bytes of a body that a client has to send in each bodyProgressInterval
)

// maxSharedBodyBytes is the longest body, in bytes, of a response that is encoded in the server's write buffer.
const maxSharedBodyBytes = 4 << 10

// ConnectionBytes is about the memory of a connection without a request, in bytes: its state, its decoder, its timer and its watch.
const ConnectionBytes = 1 << 10

// Limits on accepting connections.
const (
	maxAcceptsPerTurn    = 256     // maximum number of connections that are accepted in one turn of the event loop
	maxAcceptsAtShutdown = 1 << 20 // maximum number accepted before the listener closes; more than its queue can hold

	// acceptRetryInterval is the pause in milliseconds after accepting has failed for lack of descriptors or kernel memory.
	acceptRetryInterval balance.Millis = 5

	// listenerCloseRetryInterval is the pause in milliseconds between two attempts to empty the listener's queue during a shutdown.
	listenerCloseRetryInterval balance.Millis = 5
)

// Time in milliseconds for which an overflow connection may keep others waiting in the listener's queue. A client that was accepted has
// usually sent its request already.
const (
	overflowTurn       balance.Millis = 50   // with a part of a request, or after the last response
	overflowSilentTurn balance.Millis = 250  // without a byte, as a request that crosses the close gets no response
	overflowWriteTurn  balance.Millis = 1000 // with a response that the client does not read
)

// Minimum time in milliseconds that a connection has to be inactive before it may be closed to free its descriptor.
const (
	minInactivity               balance.Millis = 1000 // for an idle connection, and for a new one without a request
	minInactivityUnderPressure  balance.Millis = 100  // for an idle connection when the limit on overflow connections is reached
	minInactivityPartialRequest balance.Millis = 3000 // for a connection that has received part of a request
)
