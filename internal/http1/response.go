package http1

import (
	"bytes"
	"strconv"
)

// Response is a decoded response of an upstream or of the discovery service.
type Response struct {
	Status     int
	Rejected   bool   // the upstream has rejected the request without executing it
	LoadReport string // see LoadReportValue; "" if there is none
	Close      bool   // the connection ends with the response
	Body       []byte
}

// ResponseDecoder decodes the responses of one connection in sequence. Interim responses (1xx) are skipped.
type ResponseDecoder struct {
	decoder
	response    Response
	persistence persistence
	interim     int // number of interim responses received before the current response
}

// Status codes that determine how a response is framed.
const (
	minFinalStatus           = 200
	statusSwitchingProtocols = 101
	statusNoContent          = 204
	statusNotModified        = 304
)

// maxInterimResponses is the largest number of interim responses before a final response.
const maxInterimResponses = 16

// NewResponseDecoder returns a decoder for responses.
// If sink is not nil, bodies are passed to it as they are received, and their length is not limited.
func NewResponseDecoder(sink func([]byte) error) *ResponseDecoder {
	d := &ResponseDecoder{}
	d.sink = sink
	d.Reset()
	return d
}

// Reset prepares the decoder for the next response.
func (d *ResponseDecoder) Reset() {
	d.interim = 0
	d.resetResponse()
}

// resetResponse prepares the decoder for the response that follows an interim response.
func (d *ResponseDecoder) resetResponse() {
	d.reset()
	d.response = Response{}
	d.persistence = persistence{}
}

// Feed decodes bytes until a final response is complete. It returns the number of bytes consumed.
// An error is an *Error or an error of the sink; after it, no further bytes of the connection can be decoded.
func (d *ResponseDecoder) Feed(p []byte) (int, error) {
	consumed := 0
	for {
		n, err := d.feed(p[consumed:], d)
		consumed += n
		if err != nil || !d.Complete() || d.response.Status >= minFinalStatus {
			return consumed, err
		}
		d.interim++
		if d.interim > maxInterimResponses {
			return consumed, errTooManyInterim
		}
		d.resetResponse()
	}
}

// EndOfInput handles the end of the peer's sending side (EOF). It reports whether the response is complete.
func (d *ResponseDecoder) EndOfInput() bool {
	if d.state == stateBodyToEOF {
		d.state = stateComplete
	}
	return d.Complete()
}

// Started reports whether any byte of the current response has been received, including interim responses before it.
func (d *ResponseDecoder) Started() bool { return d.hasInput() || d.interim > 0 }

// Status returns the status code of the response that is being decoded, 0 before the status line is complete.
func (d *ResponseDecoder) Status() int { return d.response.Status }

// HasPartOfUnknownLength reports whether a part of a body has been received whose length is not known before its end.
func (d *ResponseDecoder) HasPartOfUnknownLength() bool {
	return d.InBody() && d.framing.contentLength < 0 && d.bodyBytes > 0
}

// Response returns the decoded response. The Body of a streamed response is empty.
func (d *ResponseDecoder) Response() Response {
	r := d.response
	r.Body = d.body
	r.Close = r.Close || d.persistence.closes()
	return r
}

func (d *ResponseDecoder) startLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	minor, ok := parseVersion(version)
	if !ok {
		return errMalformedStatusLine
	}
	d.persistence.minorVersion = minor
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != 3 || status < 100 {
		return errMalformedStatus
	}
	d.response.Status = int(status)
	return nil
}

func (d *ResponseDecoder) field(name, value []byte) error {
	switch {
	case equalFold(name, fieldRejected):
		d.response.Rejected = string(value) == valueTrue
	case equalFold(name, fieldLoadReport):
		d.response.LoadReport = string(value)
	case equalFold(name, fieldConnection):
		d.persistence.connectionField(value)
	}
	return nil
}

func (d *ResponseDecoder) bodyState(f framing) (state, error) {
	status := d.response.Status
	switch {
	case status == statusSwitchingProtocols: // salttrack never sends an Upgrade field
		return stateComplete, errUnexpectedUpgrade
	case status < minFinalStatus || status == statusNoContent || status == statusNotModified:
		return stateComplete, nil
	case f.transferCoding:
		return stateChunkSize, nil
	case f.contentLength >= 0:
		return stateSizedBody, nil
	}
	d.response.Close = true
	return stateBodyToEOF, nil
}
