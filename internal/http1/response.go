package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// Response is one answer of an upstream, or of discovery.
type Response struct {
	Status     int
	TurnedAway bool   // the request never ran
	Pressure   string // the load report, "" if none came
	Close      bool   // the connection ends with the answer
	Body       []byte
}

// ResponseDecoder decodes the answers of one connection, one after the other. Interim answers (1xx) are
// passed over.
type ResponseDecoder struct {
	decoder
	resp    Response
	conn    persistence
	interim int // of the answer that is awaited
}

// interimMost bounds the interim answers before one that counts: a peer may send them without end.
const interimMost = 16

// NewResponseDecoder returns a decoder ready for its first answer. If sink is not nil it takes the body as
// it comes, without limit.
func NewResponseDecoder(sink func([]byte) error) *ResponseDecoder {
	d := &ResponseDecoder{}
	d.sink = sink
	d.Reset()
	return d
}

// Reset makes the decoder ready for the next answer.
func (d *ResponseDecoder) Reset() {
	d.interim = 0
	d.next()
}

// next makes the decoder ready for what follows an interim answer.
func (d *ResponseDecoder) next() {
	d.decoder.reset()
	d.resp, d.conn = Response{}, persistence{}
}

// Feed takes bytes until an answer is whole and returns how many it took. After an error the rest of the
// connection means nothing.
func (d *ResponseDecoder) Feed(p []byte) (int, error) {
	total := 0
	for {
		n, err := d.feed(p[total:], d)
		if total += n; err != nil || !d.Done() || d.resp.Status >= 200 {
			return total, err
		}
		if d.interim++; d.interim > interimMost {
			return total, bad("too many interim answers")
		}
		d.next()
	}
}

// End tells that the connection has ended in order. It reports whether that makes the answer whole.
func (d *ResponseDecoder) End() bool {
	if d.state == inRest {
		d.state = inDone
	}
	return d.Done()
}

// Done reports whether a whole answer is there.
func (d *ResponseDecoder) Done() bool { return d.state == inDone }

// Begun reports whether a part of an answer has come.
func (d *ResponseDecoder) Begun() bool { return d.begun() || d.interim > 0 }

// Status is that of the answer whose start line has come, 0 before.
func (d *ResponseDecoder) Status() int { return d.resp.Status }

// Response returns the whole answer.
func (d *ResponseDecoder) Response() Response {
	d.resp.Body, d.resp.Close = d.body, d.resp.Close || d.conn.ends()
	return d.resp
}

func (d *ResponseDecoder) start(line []byte) error {
	proto, rest, _ := bytes.Cut(line, []byte(" "))
	code, _, _ := bytes.Cut(rest, []byte(" "))
	var ok bool
	if d.conn.minor, ok = version(proto); !ok {
		return bad("malformed status line")
	}
	status, err := strconv.ParseUint(string(code), 10, 16)
	if err != nil || len(code) != 3 || status < 100 {
		return bad("malformed status")
	}
	d.resp.Status = int(status)
	return nil
}

func (d *ResponseDecoder) field(name, value []byte) error {
	switch {
	case is(name, "X-Turned-Away"):
		d.resp.TurnedAway = string(value) == "1"
	case is(name, "X-Pressure"):
		d.resp.Pressure = string(value)
	case is(name, "Connection"):
		d.conn.field(value)
	}
	return nil
}

func (d *ResponseDecoder) framing(f *frame) (state, error) {
	switch {
	case d.resp.Status == 101: // nobody asked for it
		return inDone, bad("protocol switched")
	case d.resp.Status < 200 || d.resp.Status == 204 || d.resp.Status == 304:
		return inDone, nil
	case f.chunked:
		return inChunkSize, nil
	case f.length >= 0:
		return inBody, nil
	}
	d.resp.Close = true
	return inRest, nil
}

// Figure reads one figure of a load report, as name=value parted by commas.
func Figure(report, name string) (float64, bool) {
	for part := range strings.SplitSeq(report, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		if k == name {
			x, err := strconv.ParseFloat(v, 64)
			return x, err == nil && x >= 0 && x <= 1e9
		}
	}
	return 0, false
}

// Continue is the interim answer that lets a sender go on to the body.
const Continue = "HTTP/1.1 100 Continue\r\n\r\n"

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 417: "Expectation Failed",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// AppendLongHead encodes the head of a 200 whose body is passed on as it comes: by its length, in chunks if that is not known
// (-1), or to the end of the connection for a reader that knows no chunks.
func AppendLongHead(p []byte, length int64, chunks, end bool) []byte {
	p = append(p, "HTTP/1.1 200 OK\r\n"...)
	if length >= 0 {
		p = append(strconv.AppendInt(append(p, "Content-Length: "...), length, 10), "\r\n"...)
	} else if chunks {
		p = append(p, "Transfer-Encoding: chunked\r\n"...)
	}
	if end {
		p = append(p, "Connection: close\r\n"...)
	}
	return append(p, "\r\n"...)
}

// AppendResponse encodes an answer. RetryAfter, in milliseconds, is left out where it is 0.
func AppendResponse(p []byte, status int, retryAfter float64, end bool, body []byte) []byte {
	p = append(strconv.AppendInt(append(p, "HTTP/1.1 "...), int64(status), 10), ' ')
	p = append(append(p, reasons[status]...), "\r\nContent-Length: "...)
	p = append(strconv.AppendInt(p, int64(len(body)), 10), "\r\n"...)
	if retryAfter > 0 {
		p = append(p, "Retry-After: "...)
		p = append(strconv.AppendFloat(p, retryAfter/1000, 'f', 3, 64), "\r\n"...)
	}
	if end {
		p = append(p, "Connection: close\r\n"...)
	}
	p = append(p, "\r\n"...)
	return append(p, body...)
}
