package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is one request of a client on a connection of its own.
type call struct {
	id        string
	class     string
	method    string
	key       string // Idempotency-Key
	body      int    // bytes of the body
	chunked   bool
	remaining time.Duration
	leaveAt   time.Duration // the client closes its connection this long after its last byte; 0: it stays
	wait      time.Duration // how long the test waits for the answer after the last byte

	connected float64 // Unix times in ms
	lastByte  float64 // when the write of the last byte returned; 0: never
	closed    float64
	answered  float64 // when the last byte of the answer came; 0: never
	status    int
	text      string
	err       error
}

// do sends the request and reads the answer.
func (c *call) do(s *site) {
	connection, err := net.Dial("tcp", s.listen)
	if err != nil {
		c.err = err
		return
	}
	defer connection.Close()
	c.connected = nowMS()
	connection.SetWriteDeadline(time.Now().Add(c.wait))
	if _, c.err = connection.Write(c.encode()); c.err != nil {
		return
	}
	c.lastByte = nowMS()
	if c.leaveAt > 0 {
		time.Sleep(c.leaveAt)
		connection.Close()
		c.closed = nowMS()
		return
	}
	connection.SetReadDeadline(time.Now().Add(c.wait))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		c.err = err
		return
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.err = err
		return
	}
	c.answered = nowMS()
	c.status = response.StatusCode
	c.text = string(body)
}

func (c *call) encode() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %.3f\r\n",
		c.method, c.class, c.id, c.class, c.remaining.Seconds())
	if c.key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", c.key)
	}
	switch {
	case c.chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n")
		for left := c.body; left > 0; {
			n := min(left, 8<<10)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", n, strings.Repeat("b", n))
			left -= n
		}
		b.WriteString("0\r\n\r\n")
	case c.method == "POST":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", c.body, strings.Repeat("b", c.body))
	default:
		b.WriteString("\r\n")
	}
	return []byte(b.String())
}

// settings returns the settings of a small deployment with one tier, in the form of the deployment page.
func settings(replicas int, classes ...map[string]any) map[string]any {
	return map[string]any{
		"me": 0, "replicas_of_me": replicas, "zone": 0, "stage": 0, "tiers": []string{"vhod"},
		"dcs": []string{"ljubljana"}, "discovery": "push", "granularity_ms": 5.0,
		"invariants": map[string]any{"answer_slack_ms": 20.0, "drain_grace_ms": 250.0, "start_capacity": 0.3,
			"cold_ms": 8900.0, "fall_multiple": 3.0, "fall_ms": 1500.0},
		"limits": map[string]any{"max_attempts": 6, "cancel": true, "second_copies": true, "retry_after": true,
			"max_retry_after_ms": 2000.0, "connect_timeout_ms": 250.0, "keepalive_ms": 15000.0},
		"report":  map[string]any{"how": "answers", "columns": []string{"util", "latency_ms"}},
		"classes": classes,
	}
}

// Classes of the site kodrin-primerjava.
func porocilo() map[string]any {
	return map[string]any{"name": "porocilo", "on_time_ms": 800.0, "deadline_ms": 2000.0, "worth": 12.0,
		"late_value": 0.0, "idempotency": "retryable", "streamed": false}
}

func oddaja() map[string]any {
	return map[string]any{"name": "oddaja", "on_time_ms": 1200.0, "deadline_ms": 3000.0, "worth": 1.0,
		"late_value": 0.0, "idempotency": "fragile", "streamed": false}
}

func arhiv() map[string]any {
	return map[string]any{"name": "arhiv", "on_time_ms": 2500.0, "deadline_ms": 6000.0, "worth": 1.0,
		"late_value": 0.0, "idempotency": "dedup", "group": "zone", "window_ms": 10000.0, "streamed": false}
}
