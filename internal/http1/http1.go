// Package http1 encodes and decodes the subset of HTTP/1.x that salttrack supports. Decoders accept input in fragments of any size.
// A body of up to MaxBufferedBodyBytes is buffered with its message; a longer body is streamed.
// Encoders append to a buffer of the caller. The package does no I/O.
//
// In comments, the head of a message is its start line (request line or status line) and its header fields.
package http1

// Limits on the size of received messages, in bytes.
const (
	MaxHeadBytes         = 16 << 10 // size of a head; also of the lines that frame one chunk, and of the trailer section
	MaxBufferedBodyBytes = 64 << 10 // size of a buffered body; longer bodies are streamed
	minStreamedBodyBytes = 4 << 10  // length up to which an incomplete body is buffered while bodies have used up their memory
	minRejectedBytes     = 1 << 10  // length up to which a part of a head or body is kept while there is memory for requests only
	MaxBodyBytes         = 33 << 20 // size of any body, except one that is passed to a sink
)

// Names of header fields. The custom fields (X-...) have names on the wire that mostly differ from the usual terms.
// The names of their constants are the usual terms, and all code refers to the fields by these constants.
const (
	fieldHost             = "Host"
	fieldConnection       = "Connection"
	fieldContentLength    = "Content-Length"
	fieldTransferEncoding = "Transfer-Encoding"
	fieldExpect           = "Expect"
	fieldRetryAfter       = "Retry-After"
	fieldIdempotencyKey   = "Idempotency-Key"
	fieldRequestID        = "X-Txn"
	fieldClass            = "X-Lane"
	fieldLabels           = "X-Labels"
	fieldRemaining        = "X-Remaining" // seconds until the client stops waiting for the response
	fieldRetried          = "X-Resent"
	fieldRejected         = "X-Turned-Away"
	fieldLoadReport       = "X-Pressure"
)

// Values of header fields, and other constant parts of messages.
const (
	valueTrue       = "1" // value of X-Resent and X-Turned-Away
	valueChunked    = "chunked"
	valueContinue   = "100-continue"
	valueClose      = "close"
	valueKeepAlive  = "keep-alive"
	lineEnd         = "\r\n"
	protocolVersion = "HTTP/1.1"
)
