package http1

import (
	"slices"
	"strconv"
)

// ContinueResponse is the interim response to a client that waits for it before it sends a body.
const ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// maxResponseHeadBytes is enough for the head of any response, so that a response takes one allocation.
const maxResponseHeadBytes = 128

// ResponseHead describes the head of a response whose body is written with it.
type ResponseHead struct {
	Status       int
	RetryAfterMS float64 // 0 leaves Retry-After out
	Close        bool    // announces that the connection ends with the response
}

// AppendResponse encodes a response with its complete body.
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

// StreamedResponseHead describes the head of a 200 response whose body is streamed. A body of unknown length that is not chunked ends with
// the connection.
type StreamedResponseHead struct {
	ContentLength int64 // -1 if it is not known
	Chunked       bool
	Close         bool // announces that the connection ends with the response
}

// AppendStreamedResponseHead encodes the head of a streamed response. A BodyEncoder encodes its body.
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

// appendStatusLine adds the first line of a response.
func appendStatusLine(p []byte, status int) []byte {
	p = append(p, protocolVersion+" "...)
	p = strconv.AppendInt(p, int64(status), 10)
	p = append(p, ' ')
	p = append(p, reasonPhrases[status]...)
	return append(p, lineEnd...)
}
