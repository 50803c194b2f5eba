package http1

import (
	"bytes"
	"math"
	"strconv"

	"salttrack/internal/bodystream"
)

// Request is a decoded request of a client. AppendRequest encodes the parts of it that are forwarded to an upstream.
type Request struct {
	Method           string
	Target           string // path and query, unchanged
	ID               string // from the field X-Txn
	Class            string // name of the request class, from the field X-Lane
	IdempotencyKey   string
	Labels           string             // from the field X-Labels
	RemainingSeconds float64            // time in seconds until the client stops waiting for the response; NaN if not given
	Retried          bool               // the client has marked the request as a retry
	Close            bool               // the connection ends with the response
	HTTP10           bool               // the version is HTTP/1.0, which has no chunked transfer coding
	ExpectContinue   bool               // the client waits for 100 Continue before it sends the body
	Body             []byte             // complete body; unused if Stream is set
	Stream           *bodystream.Stream // streamed body; nil if the body is buffered
}

// RequestDecoder decodes the requests of one connection in sequence.
type RequestDecoder struct {
	decoder
	request             Request
	persistence         persistence
	allowAmbiguousPaths bool // paths for which isUnambiguousPath is false are not rejected
}

// NewRequestDecoder returns a decoder for the requests of clients.
func NewRequestDecoder() *RequestDecoder {
	d := &RequestDecoder{}
	d.strictLines = true
	d.Reset()
	return d
}

// NewAdminRequestDecoder returns a decoder for the requests to the admin server. It allows ambiguous paths,
// since these requests are not forwarded to an upstream that may interpret the path differently. It discards bodies.
func NewAdminRequestDecoder() *RequestDecoder {
	d := NewRequestDecoder()
	d.allowAmbiguousPaths = true
	d.sink = func([]byte) error { return nil }
	return d
}

// Reset prepares the decoder for the next request.
func (d *RequestDecoder) Reset() {
	d.reset()
	d.request = Request{RemainingSeconds: math.NaN()}
	d.persistence = persistence{}
}

// Feed decodes bytes until a request is complete.
// It returns the number of bytes consumed. An error is an *Error; after it, no further bytes of the connection can be decoded.
func (d *RequestDecoder) Feed(p []byte) (int, error) { return d.feed(p, d) }

// Started reports whether any byte of the current request has been received.
func (d *RequestDecoder) Started() bool { return d.hasInput() }

// ExpectsContinue reports whether the client waits for 100 Continue.
// That is so while the head is complete and no byte of the body has been received.
func (d *RequestDecoder) ExpectsContinue() bool {
	return d.request.ExpectContinue && d.bodyBytes == 0 && (d.state == stateSizedBody || d.state == stateChunkSize)
}

// Request returns the decoded request.
// It may be called when the request is complete, or, if the body is streamed, when the head is complete.
func (d *RequestDecoder) Request() Request {
	r := d.request
	r.Body = d.body
	r.Close = d.persistence.closes()
	r.HTTP10 = d.persistence.minorVersion == 0
	return r
}

func (d *RequestDecoder) startLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, _ := bytes.Cut(rest, []byte(" "))
	if len(method) == 0 || len(target) == 0 || target[0] != '/' {
		return errMalformedRequestLine
	}
	if !isToken(method) {
		return errMalformedMethod
	}
	if err := checkTarget(target); err != nil {
		return err
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	if !d.allowAmbiguousPaths && !isUnambiguousPath(path) {
		return errAmbiguousPath
	}
	minor, ok := parseVersion(version)
	if !ok {
		return errVersionNotSupported
	}
	d.persistence.minorVersion = minor
	if d.lacksHeadMemory(len(target)) {
		return errNoMemoryForHead
	}
	d.request.Method = string(method)
	d.request.Target = string(target)
	d.countHead(len(method) + len(target))
	return nil
}

// field parses a header field. The text fields have to be printable ASCII,
// since they are forwarded to upstreams or compared with values that are printable ASCII.
func (d *RequestDecoder) field(name, value []byte) error {
	r := &d.request
	switch {
	case equalFold(name, fieldRequestID):
		return d.setText(&r.ID, fieldRequestID, value, '!')
	case equalFold(name, fieldClass):
		return d.setText(&r.Class, fieldClass, value, '!')
	case equalFold(name, fieldIdempotencyKey):
		return d.setText(&r.IdempotencyKey, fieldIdempotencyKey, value, '!')
	case equalFold(name, fieldLabels):
		return d.setText(&r.Labels, fieldLabels, value, ' ')
	case equalFold(name, fieldRemaining):
		return d.setRemaining(value)
	case equalFold(name, fieldRetried):
		r.Retried = string(value) == valueTrue
	case equalFold(name, fieldConnection):
		d.persistence.connectionField(value)
	case equalFold(name, fieldExpect):
		if !equalFold(value, valueContinue) {
			return errUnknownExpectation
		}
		r.ExpectContinue = d.persistence.minorVersion > 0
	}
	return nil
}

// setText sets a text field. The field may be repeated only with the same value.
// Its characters must be ASCII between lowest and '~', both included.
func (d *RequestDecoder) setText(text *string, name string, value []byte, lowest byte) error {
	if *text == string(value) {
		return nil
	}
	if *text != "" {
		return repeated(name)
	}
	if !isPrintable(value, lowest) {
		return malformed(name)
	}
	if d.lacksHeadMemory(len(value)) {
		return errNoMemoryForHead
	}
	*text = string(value)
	d.countHead(len(value))
	return nil
}

// setRemaining sets the time until the client stops waiting for the response.
func (d *RequestDecoder) setRemaining(value []byte) error {
	seconds, err := strconv.ParseFloat(string(value), 64)
	given := !math.IsNaN(d.request.RemainingSeconds)
	if err != nil || !isDecimal(value) || given && d.request.RemainingSeconds != seconds {
		return malformed(fieldRemaining)
	}
	d.request.RemainingSeconds = seconds
	return nil
}

func (d *RequestDecoder) bodyState(f framing) (state, error) {
	switch {
	case f.transferCoding && d.persistence.minorVersion == 0:
		return stateComplete, errChunkedInHTTP10
	case f.transferCoding:
		return stateChunkSize, nil
	case f.contentLength > 0:
		return stateSizedBody, nil
	}
	return stateComplete, nil
}

// RemainingTime returns the time until the client stops waiting for the response, counted from the last byte of the request,
// in milliseconds.
func (r *Request) RemainingTime() float64 {
	const millisPerSecond = 1000
	return r.RemainingSeconds * millisPerSecond
}

// maxRequestFraming is an upper bound of what AppendRequest adds to the values of a request and to its host, in bytes.
const maxRequestFraming = 256

// RequestBytes returns an upper bound of the bytes that AppendRequest appends for a request.
func RequestBytes(r *Request, host string) int {
	values := len(r.Method) + len(r.Target) + len(r.ID) + len(r.Class) + len(r.IdempotencyKey) + len(r.Labels)
	return maxRequestFraming + values + len(host) + len(r.Body)
}

// AppendRequest appends the request that is sent to an upstream: the head, and the body unless it is streamed.
// The field Host has the value host. The field X-Remaining says how long the caller waits for the response:
// remainingMS is this time in milliseconds, and it is written in seconds.
func AppendRequest(p []byte, r *Request, host string, remainingMS float64) []byte {
	p = append(p, r.Method...)
	p = append(p, ' ')
	p = append(p, r.Target...)
	p = append(p, " "+protocolVersion+lineEnd...)
	p = appendField(p, fieldHost, host)
	p = appendField(p, fieldRequestID, r.ID)
	p = appendField(p, fieldClass, r.Class)
	p = appendField(p, fieldIdempotencyKey, r.IdempotencyKey)
	p = appendField(p, fieldLabels, r.Labels)
	p = appendSeconds(p, fieldRemaining, max(0, remainingMS))
	if r.Retried {
		p = appendField(p, fieldRetried, valueTrue)
	}
	switch {
	case r.Stream != nil && r.Stream.Length < 0:
		p = appendField(p, fieldTransferEncoding, valueChunked)
	case r.Stream != nil:
		p = appendContentLength(p, r.Stream.Length)
	case len(r.Body) > 0 || r.Method != MethodGet:
		p = appendContentLength(p, int64(len(r.Body)))
	}
	p = append(p, lineEnd...)
	return append(p, r.Body...)
}
