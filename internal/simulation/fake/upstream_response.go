package fake

import (
	"fmt"
	"strings"

	"salttrack/internal/simulation/names"
)

// rejectionHeader is a header field that tells a balancer that a request was not executed.
const rejectionHeader = "X-Turned-Away: 1\r\n"

// Forms and sizes of responses vary, to exercise a balancer's decoder.
const (
	earlyHintsFraction = 0.02 // fraction of responses that are preceded by a 103 response
	chunkedFraction    = 0.1  // fraction of responses with a body that are chunked
	largeBodyFraction  = 0.02 // fraction of bodies that are large
	minBodyBytes       = 20
	maxSmallBodyBytes  = 420
	minLargeBodyBytes  = 20000
	maxLargeBodyBytes  = 60000

	// reportedLatencyMS is the latency in load reports, in ms, of an upstream that no fault slows down.
	reportedLatencyMS = 10
)

// produceBody returns a unique body, so that a response to the wrong request can be detected.
func (u *Upstream) produceBody(requestID string) []byte {
	u.responseCount++
	size := minBodyBytes + u.rng.IntN(maxSmallBodyBytes-minBodyBytes)
	if u.rng.Chance(largeBodyFraction) {
		size = minLargeBodyBytes + u.rng.IntN(maxLargeBodyBytes-minLargeBodyBytes)
	}
	body := fmt.Appendf(nil, "made for %s by %s as %d ", requestID, u.ID, u.responseCount)
	for i := len(body); i < size; i++ {
		body = append(body, byte('a'+(i*7+u.responseCount)%26))
	}
	return body
}

// loadReport returns a header field with a load report, "" if LoadReports is false.
func (u *Upstream) loadReport() string {
	if !u.LoadReports {
		return ""
	}
	utilization := min(1, float64(u.service.running)/float64(u.Model.Cores))
	latency := reportedLatencyMS * max(1, u.Faults.Slowdown)
	return fmt.Sprintf("X-Pressure: inflight=%d,util=%.2f,latency_ms=%.1f\r\n", u.service.inFlight(), utilization, latency)
}

// reject responds that a request was not executed.
func (c *upstreamConn) reject(status int) { c.respond(status, rejectionHeader, nil) }

// respond sends a response. headers holds additional header fields, each ending in CRLF.
func (c *upstreamConn) respond(status int, headers string, body []byte) {
	u := c.upstream
	headers += u.loadReport()
	var message []byte
	if u.rng.Chance(earlyHintsFraction) {
		message = append(message, "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n"...)
	}
	if len(body) > 0 && u.rng.Chance(chunkedFraction) {
		message = fmt.Appendf(message, "HTTP/1.1 %d X\r\n%sTransfer-Encoding: chunked\r\n\r\n", status, headers)
		message = append(message, u.encodeChunks(body)...)
	} else {
		message = fmt.Appendf(message, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	}
	c.conn.send(append(message, c.drawExtraData(message)...))
}

// encodeChunks returns the chunked encoding of a body, in chunks of random sizes.
func (u *Upstream) encodeChunks(body []byte) []byte {
	var chunks []byte
	for rest := body; len(rest) > 0; {
		size := min(len(rest), 1+u.rng.IntN(len(body)))
		chunks = fmt.Appendf(chunks, "%x\r\n%s\r\n", size, rest[:size])
		rest = rest[size:]
	}
	return append(chunks, "0\r\n\r\n"...)
}

// drawExtraData returns data that a fault appends to a response: a copy of the response or bytes that are not HTTP.
// It returns nil for none, and if a request is waiting on the connection.
func (c *upstreamConn) drawExtraData(message []byte) []byte {
	stream := c.upstream.faultStream(names.ExtraResponseStream)
	if !stream.Chance(c.upstream.Faults.ExtraDataFraction) || len(c.unparsed) > 0 {
		return nil
	}
	if stream.Chance(0.5) {
		return message
	}
	return []byte("\x00\x01noise behind\r\n\r\n")
}

// respondCorrupted sends an invalid response in one of several forms.
// All forms but the last leave the connection open; further requests on it are ignored.
func (c *upstreamConn) respondCorrupted(status int, body []byte) {
	c.ignoreInput = true
	head := fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%s", status, c.upstream.loadReport())
	switch c.upstream.faultStream(names.CorruptResponseStream).IntN(7) {
	case 0: // not HTTP
		c.conn.send([]byte("\x16\x03\x01\x00 this is no answer\r\n\r\n"))
	case 1: // unterminated head with a field of 20000 bytes
		c.conn.send(append(head, "X-Long: "+strings.Repeat("x", 20000)...))
	case 2: // body shorter than its Content-Length
		c.conn.send(fmt.Appendf(head, "Content-Length: %d\r\n\r\n%s", len(body)+100, body))
	case 3: // two different Content-Length fields
		c.conn.send(fmt.Appendf(head, "Content-Length: %d\r\nContent-Length: %d\r\n\r\n%s", len(body), len(body)+1, body))
	case 4: // Content-Length of 3 GiB
		c.conn.send(fmt.Appendf(head, "Content-Length: 3221225472\r\n\r\n%s", body))
	case 5: // invalid chunk size
		c.conn.send(fmt.Appendf(head, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nzz\r\n", len(body), body))
	case 6: // connection closed within the body
		c.conn.closeWhenFlushed = true
		c.conn.send(fmt.Appendf(head, "Content-Length: %d\r\n\r\n%s", len(body), body[:len(body)/2]))
	}
}
