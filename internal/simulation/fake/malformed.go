package fake

import (
	"fmt"
	"net/http"
	"strings"

	"salttrack/internal/http1"
	"salttrack/internal/timer"
)

const (
	// minMalformedRate is the lowest rate, per second, at which connections with malformed input are scheduled.
	// They are opened only while ClientBehavior.MalformedRate is above 0.
	minMalformedRate = 0.5

	// malformedConnLifetime is the time in ms after which a client closes a connection with malformed input.
	malformedConnLifetime = 4500.0
)

// malformedInput is an input that a balancer has to reject.
type malformedInput struct {
	name   string // describes the input in reports
	text   string // each %d is replaced by a random ID
	repeat int    // number of times that text is sent on one connection
}

// remainingField is a header field that sets the deadline to 1 s.
const remainingField = "X-Remaining: 1"

// requestWithFields returns the head of a request of a class, with additional header fields. Its ID contains a %d.
func requestWithFields(methodAndPath, class string, fields ...string) string {
	return methodAndPath + " HTTP/1.1\r\nHost: b\r\nX-Txn: r%d\r\nX-Lane: " + class + "\r\n" +
		strings.Join(fields, "\r\n") + "\r\n\r\n"
}

// smuggledRequest is a request in the body of another one, which a balancer must not treat as a request.
const smuggledRequest = "GET /status/hidden HTTP/1.1\r\nX-Txn: hidden%d\r\nX-Lane: status\r\nX-Remaining: 1\r\n\r\n"

// malformedInputs are drawn by index, so the hash of a run depends on their number and their sequence.
var malformedInputs = []malformedInput{
	{"bytes that are not HTTP", "\x00\x01\x02 nothing that can be read \r\n\r\n", 1},
	{"oversized head", "GET /status/x HTTP/1.1\r\nX-Long: " + strings.Repeat("y", 40000), 1},
	{"request line without version", "GET /status/x\r\n\r\n", 1},
	{"negative Content-Length", requestWithFields("POST /oddaja/x", "oddaja", remainingField, "Content-Length: -5"), 1},
	{"huge Content-Length", requestWithFields("POST /oddaja/x", "oddaja", remainingField,
		"Content-Length: 99999999999999999999"), 1},
	{"both Content-Length and chunked", requestWithFields("POST /oddaja/x", "oddaja", remainingField, "Content-Length: 4",
		"Transfer-Encoding: chunked") + "0\r\n\r\n" + smuggledRequest, 1},
	{"unknown class", requestWithFields("GET /nothing/x", "nothing", remainingField), 1},
	{"deadline that is not a number", requestWithFields("GET /status/x", "status", "X-Remaining: soon"), 1},
	{"no request ID", "GET /status/x HTTP/1.1\r\nHost: b\r\nX-Lane: status\r\nX-Remaining: 1\r\n\r\n", 1},
	{"incomplete head", "GET /status/x HTTP/1.1\r\nHost: b\r\nX-T", 1},
	{"no data", "", 1},
	{"idempotency key in a non-idempotent class", requestWithFields("POST /oddaja/x", "oddaja", "Idempotency-Key: k",
		remainingField, "Content-Length: 0"), 1},
	{"wrong method", requestWithFields("DELETE /status/x", "status", remainingField), 1},
	{"path of another class", requestWithFields("GET /status/../oddaja/x", "status", remainingField), 1},
	{"chunk lines that end in LF", requestWithFields("POST /oddaja/x", "oddaja", remainingField, "Transfer-Encoding: chunked") +
		"2\nab\n0\n\n", 1},
	{"hundreds of requests at once", requestWithFields("GET /nothing/x", "nothing", remainingField), 200},
}

// scheduleMalformed schedules the next connection with malformed input, at the rate of the clients' behavior.
func (c *Clients) scheduleMalformed() {
	lp := c.Host.Loop()
	if lp.Now() >= c.Until {
		return
	}
	gap := drawInterarrivalTime(c.malformedRNG, max(minMalformedRate, c.Behavior.MalformedRate))
	input := malformedInputs[c.malformedRNG.IntN(len(malformedInputs))]
	lp.After(gap, func() {
		if c.Behavior.MalformedRate > 0 && lp.Now() < c.Until {
			c.sendMalformed(input)
		}
		c.scheduleMalformed()
	})
}

// malformedConn is one connection with malformed input. It owns its timer, which closes the connection after
// malformedConnLifetime.
type malformedConn struct {
	clients   *Clients
	input     malformedInput
	balancer  BalancerAddress
	conn      *conn
	decoder   *http1.ResponseDecoder
	startedAt float64 // time in ms when the connection was established
	timer     *timer.Timer
	recorded  bool // the result is recorded
}

// sendMalformed opens a connection and sends an input on it.
func (c *Clients) sendMalformed(input malformedInput) {
	balancer, inRotation := c.Balancers.Select()
	if !inRotation {
		return
	}
	conn, err := dial(c.Host, balancer.Addr)
	if err != nil {
		return
	}
	m := &malformedConn{clients: c, input: input, balancer: balancer, conn: conn, decoder: http1.NewResponseDecoder(nil)}
	m.startedAt = m.now()
	m.timer = c.Host.Loop().After(malformedConnLifetime, m.onTimeout)
	conn.onConnected = func() { m.startedAt = m.now() }
	conn.onData = m.onData
	conn.onClosed = m.onClosed
	for range input.repeat {
		conn.send([]byte(c.withRandomIDs(input.text)))
	}
}

// withRandomIDs replaces each %d in a text by a random ID.
func (c *Clients) withRandomIDs(text string) string {
	for strings.Contains(text, "%d") {
		text = strings.Replace(text, "%d", fmt.Sprintf("%012x", c.malformedRNG.Uint64()>>16), 1)
	}
	return text
}

func (m *malformedConn) now() float64 { return m.clients.Host.Loop().Now() }

// record records how the balancer handled the input. Results after the first are ignored.
func (m *malformedConn) record(status int) {
	if m.recorded {
		return
	}
	m.recorded = true
	m.clients.Recorder.MalformedInputHandled(MalformedInputResult{
		Input:     m.input.name,
		Balancer:  m.balancer.Name,
		Status:    status,
		StartedAt: m.startedAt,
		At:        m.now(),
	})
}

// onTimeout closes a connection that the balancer has not closed.
func (m *malformedConn) onTimeout() {
	if m.conn.closed {
		return
	}
	if m.conn.connected {
		m.record(StatusNoReply)
	}
	m.conn.close()
}

// onData records a response. It closes the connection if the response is not an error.
func (m *malformedConn) onData(data []byte) {
	if _, err := m.decoder.Feed(data); err != nil || !m.decoder.Complete() {
		return
	}
	status := m.decoder.Response().Status
	m.record(status)
	if status < http.StatusBadRequest {
		m.conn.close()
		m.clients.Host.Loop().Timers.Stop(m.timer)
	}
	m.decoder = http1.NewResponseDecoder(nil)
}

func (m *malformedConn) onClosed(error) {
	m.clients.Host.Loop().Timers.Stop(m.timer)
	if m.conn.connected {
		m.record(StatusClosed)
	}
}
