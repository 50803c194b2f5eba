package http1

import (
	"slices"
	"strconv"
)

// ContinueResponse is the interim response for a client that waits for it before it sends a body.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// maxResponseHeadBytes is an upper bound of the size of an encoded head, so that encoding a response needs only one allocation.
const maxResponseHeadBytes = 128

// ResponseHead describes the head of a response with a complete body.
type ResponseHead struct {
	Status       int
	RetryAfterMS float64 // value of Retry-After in milliseconds; 0 omits the field
	Close        bool    // adds Connection: close
}

// AppendResponse appends a response with a complete body.
func AppendResponse(p []byte, head ResponseHead, body []byte) []byte {
	p = slices.Grow(p, maxResponseHeadBytes+len(body))
	p = appendStatusLine(p, head.Status)
	p = appendContentLength(p, int64(len(body)))
	if head.RetryAfterMS > 0 {
		p = appendSeconds(p, fieldRetryAfter, head.RetryAfterMS)
	}
	if head.Close {
		p = appendField(p, fieldConnection, valueClose)
	}
	p = append(p, lineEnd...)
	return append(p, body...)
}

// StreamedResponseHead describes the head of a streamed response, whose status is 200.
// A body of unknown length that is not chunked ends with the connection.
type StreamedResponseHead struct {
	ContentLength int64 // length of the body in bytes, -1 if unknown
	Chunked       bool  // adds Transfer-Encoding: chunked if the length is unknown
	Close         bool  // adds Connection: close
}

// AppendStreamedResponseHead appends the head of a streamed response. A BodyEncoder encodes the body.
func AppendStreamedResponseHead(p []byte, head StreamedResponseHead) []byte {
	p = slices.Grow(p, maxResponseHeadBytes)
	p = appendStatusLine(p, StatusOK)
	switch {
	case head.ContentLength >= 0:
		p = appendContentLength(p, head.ContentLength)
	case head.Chunked:
		p = appendField(p, fieldTransferEncoding, valueChunked)
	}
	if head.Close {
		p = appendField(p, fieldConnection, valueClose)
	}
	return append(p, lineEnd...)
}

// appendStatusLine appends a status line.
func appendStatusLine(p []byte, status int) []byte {
	p = append(p, protocolVersion+" "...)
	p = strconv.AppendInt(p, int64(status), 10)
	p = append(p, ' ')
	p = append(p, reasonPhrases[status]...)
	return append(p, lineEnd...)
}
