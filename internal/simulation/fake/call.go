package fake

import (
	"fmt"
	"net/http"
	"strconv"

	"salttrack/balance"
	"salttrack/internal/timer"
)

// callOutcome is how a call ended for its client.
type callOutcome uint8

const (
	callServed callOutcome = iota
	callRejected
	callFailed
	callIncomplete // no complete response was received after the request was sent, or the client closed the connection
	callUnsent     // the balancer could not be reached, or the connection was lost before the request was completely sent
)

// outcomeForStatus returns the outcome of a call whose complete response has the given status.
func outcomeForStatus(status int) callOutcome {
	switch status {
	case http.StatusOK:
		return callServed
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return callRejected
	}
	return callFailed
}

// call is one request of a client, sent on one connection. It owns its timer, which stops when the call ends.
type call struct {
	id             string
	rootID         string // ID of the original request, which retries share
	class          int
	idempotencyKey string
	remaining      float64 // ms to the deadline, sent in the request
	body           []byte
	balancer       BalancerAddress
	onDone         func(callOutcome)

	cancelAfter       float64 // ms from sending the request until the client cancels it, 0 for never
	firstRequestDelay float64 // ms from opening the connection to sending the request
	writeSlowly       bool
	readSlowly        bool
	newConnection     bool
	pipelined         bool // sent before the response to an earlier request on its connection
	resent            bool // sent again after its first connection closed

	conn     *clientConn
	written  bool // the kernel has accepted the whole request
	finished bool
	timer    *timer.Timer // cancels the call after cancelAfter, or aborts it responseGrace after its deadline
}

// message returns the encoded request.
func (c *call) message(class Class) []byte {
	method := http.MethodPost
	if class.Idempotency == balance.Idempotent {
		method = http.MethodGet
	}
	p := fmt.Appendf(nil, "%s /%s/%s?r=%s HTTP/1.1\r\nHost: b.svc\r\n", method, class.Name, c.rootID, c.id[:4])
	p = fmt.Appendf(p, "X-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %s\r\n", c.id, class.Name,
		strconv.FormatFloat(c.remaining/1000, 'f', 3, 64))
	if c.idempotencyKey != "" {
		p = fmt.Appendf(p, "Idempotency-Key: %s\r\n", c.idempotencyKey)
	}
	if method == http.MethodPost {
		p = fmt.Appendf(p, "Content-Length: %d\r\n", len(c.body))
	}
	p = append(p, "\r\n"...)
	return append(p, c.body...)
}

// cancel cancels the request by closing its connection. It records the cancellation if the request was sent.
func (c *call) cancel() {
	if c.written {
		c.conn.recordCancelled(c)
	}
	c.abort()
}

// abort closes the call's connection and ends all calls on it. The caller records the end of this call.
func (c *call) abort() {
	c.conn.conn.close()
	c.conn.endAll(c)
}

// end ends the call with an outcome. Only the first call of end or stop has an effect.
func (c *call) end(outcome callOutcome) {
	if c.finished {
		return
	}
	c.stop()
	if c.onDone != nil {
		c.onDone(outcome)
	}
}

// stop ends the call without reporting an outcome.
func (c *call) stop() {
	c.finished = true
	if c.conn != nil {
		c.conn.client.host.Loop().Timers.Stop(c.timer)
	}
}

// resend returns a copy of the call, to be sent on a new connection. It ends this call without reporting an outcome.
func (c *call) resend() *call {
	resent := *c
	resent.conn = nil
	resent.written = false
	resent.resent = true
	resent.newConnection = true
	c.stop()
	return &resent
}
