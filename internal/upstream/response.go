package upstream

import (
	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/exchange"
	"salttrack/internal/http1"
	"salttrack/internal/memory"
)

// maxReadsPerTurn is the maximum number of reads from one connection in one turn of the loop, so that an upstream that
// sends continuously does not delay other connections.
const maxReadsPerTurn = 4

// HTTP statuses that only upstreams send. Those that salttrack sends itself are in package http1.
const (
	statusMisdirectedRequest = 421
	statusTooEarly           = 425
	statusTooManyRequests    = 429
	statusGatewayTimeout     = 504
)

// inFlightName is the key of the number of requests in flight in a load report.
const inFlightName = "inflight"

// receive reads and decodes received bytes. If the connection breaks before the response is complete, the attempt ends
// with brokenOutcome, whatever the incomplete response contains.
func (c *conn) receive() {
	for i := 0; i < maxReadsPerTurn && c.state == stateActive; i++ {
		buffer := c.pool.readBuffer
		if c.pool.memory.Full(memory.Bodies) {
			buffer = buffer[:shortReadSize]
		}
		if c.stream != nil {
			available := c.stream.Available()
			if available == 0 { // the client reads more slowly than the upstream sends
				c.pool.loop.Watch(c.fd, 0)
				return
			}
			buffer = buffer[:min(available, len(buffer))]
		}
		n, err := c.pool.loop.Read(c.fd, buffer)
		switch {
		case err == unix.EAGAIN:
			if c.stream != nil {
				c.stream.Flush()
			}
			return
		case err != nil:
			c.end(c.brokenOutcome())
		case n == 0 && c.decoder.EndOfInput():
			c.complete()
		case n == 0:
			c.end(c.brokenOutcome())
		default:
			c.decode(buffer[:n])
		}
	}
}

// decode decodes bytes of the response.
func (c *conn) decode(p []byte) {
	n, err := c.decoder.Feed(p)
	if err != nil {
		c.pool.counters.responsesMalformed.Inc()
		c.end(c.brokenOutcome())
		return
	}
	if c.decoder.NeedsStreaming() && !c.startStream() {
		return
	}
	if c.decoder.Complete() {
		c.reusable = n == len(p)
		c.complete()
		return
	}
	c.lastProgress = c.pool.loop.Now()
	if c.stream != nil {
		c.stream.Flush()
	}
}

// complete ends the attempt with the outcome of its response. The response is complete, or its status alone decides the
// outcome. The connection becomes idle if it can be reused, and is closed otherwise.
func (c *conn) complete() {
	a := c.attempt
	response := c.decoder.Response()
	result := c.result(&response)
	if c.stream != nil {
		c.stream.Finish()
		if c.state != stateActive { // the client disconnected while the last bytes were sent to it
			return
		}
	}
	keep := c.reusable && c.request.sent() && !response.Close && c.leadsToCurrentProcess()
	c.detach()
	if keep {
		c.makeIdle()
	} else {
		c.close(reasonNotReusable)
	}
	c.pool.listener.AttemptEnded(a, result)
}

// result converts a response to the result of the attempt.
func (c *conn) result(response *http1.Response) exchange.Result {
	result := exchange.Result{Outcome: c.outcome(response)}
	if result.Outcome == balance.OK {
		result.Body = response.Body
	}
	if c.pool.loadReports {
		result.ReportedInFlight, result.LoadReported = http1.LoadReportValue(response.LoadReport, inFlightName)
	}
	return result
}

// outcome returns the outcome of an attempt that has a response.
func (c *conn) outcome(response *http1.Response) balance.Outcome {
	switch {
	case response.Status == http1.StatusOK && !c.request.sent(): // the upstream has not received the whole request
		c.pool.counters.responsesMalformed.Inc()
		return balance.ConnectFailed
	case response.Status == http1.StatusOK:
		return balance.OK
	case isOverload(response):
		return balance.Overloaded
	case isInvalidRequest(response.Status):
		return balance.InvalidRequest
	default:
		return balance.UpstreamError
	}
}

// isOverload reports whether the upstream is overloaded and has rejected the request without running it.
func isOverload(response *http1.Response) bool {
	switch response.Status {
	case http1.StatusServiceUnavailable, statusGatewayTimeout:
		return response.Rejected
	}
	return false
}

// isInvalidRequest reports whether a status means that the request itself is invalid. Any upstream would respond with
// it, so it is not a failure of this one. The statuses 408, 421, 425 and 429 depend on timing, routing or load and are
// excluded.
func isInvalidRequest(status int) bool {
	switch status {
	case http1.StatusRequestTimeout, statusMisdirectedRequest, statusTooEarly, statusTooManyRequests:
		return false
	}
	const clientErrors = 4
	return status/100 == clientErrors
}
