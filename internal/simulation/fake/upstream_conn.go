package fake

import (
	"errors"
	"net/http"
	"slices"

	"salttrack/internal/http1"
	"salttrack/internal/simulation/names"
)

// upstreamConn is one connection of a balancer to an upstream.
type upstreamConn struct {
	upstream    *Upstream
	conn        *conn
	decoder     *http1.RequestDecoder
	firstByteAt float64 // time when the balancer sent the first byte of the current request
	job         *job    // job of the current request, nil between requests
	requestID   string  // ID of the current request
	unparsed    []byte  // data received after the current request
	ignoreInput bool    // all further data is ignored
}

func (u *Upstream) accept(c *conn) {
	uc := &upstreamConn{upstream: u, conn: c, decoder: http1.NewRequestDecoder()}
	c.onData = uc.onData
	c.onClosed = func(error) { uc.onClosed() }
}

// onClosed abandons the current request and its calls to the next tier.
func (c *upstreamConn) onClosed() {
	if c.job == nil {
		return
	}
	c.upstream.service.abandon(c.job)
	c.job = nil
	if c.upstream.NextTier != nil {
		c.upstream.NextTier.Abandon(c.requestID)
	}
}

// onData decodes a request. Data that arrives before the response to the current request waits in unparsed.
func (c *upstreamConn) onData(data []byte) {
	if c.ignoreInput {
		return
	}
	if c.job != nil {
		c.unparsed = append(c.unparsed, data...)
		return
	}
	if !c.decoder.Started() {
		c.firstByteAt = c.upstream.Host.LastReadSentAt(c.conn.fd)
	}
	n, err := c.decoder.Feed(data)
	if err != nil {
		c.rejectMalformed(err)
		return
	}
	if !c.decoder.Complete() {
		return
	}
	c.unparsed = append(c.unparsed, data[n:]...)
	request := c.decoder.Request()
	c.decoder.Reset()
	c.onRequest(&request)
}

// rejectMalformed responds to a request that can't be parsed with the status of err, and closes the connection.
func (c *upstreamConn) rejectMalformed(err error) {
	status := http.StatusBadRequest
	var invalid *http1.Error
	if errors.As(err, &invalid) {
		status = invalid.Status
	}
	c.upstream.Recorder.AttemptReceived(Attempt{
		Upstream:    c.upstream.ID,
		Balancer:    c.upstream.Host.PeerName(c.conn.fd),
		FirstByteAt: c.firstByteAt,
		Malformed:   true,
	})
	c.ignoreInput = true
	c.conn.closeWhenFlushed = true
	c.conn.send(http1.AppendResponse(nil, http1.ResponseHead{Status: status, Close: true}, nil))
}

// onRequest handles a complete request.
func (c *upstreamConn) onRequest(r *http1.Request) {
	u := c.upstream
	if r.ID == "" {
		c.respond(http.StatusNotFound, "", nil)
		return
	}
	u.Recorder.AttemptReceived(Attempt{
		RequestID:   r.ID,
		Upstream:    u.ID,
		Balancer:    u.Host.PeerName(c.conn.fd),
		FirstByteAt: c.firstByteAt,
		LastByteAt:  u.Host.LastReadSentAt(c.conn.fd),
		Remaining:   r.RemainingTime(),
	})
	class := slices.Index(u.Classes, r.Class)
	switch {
	case class < 0 || r.Target == "":
		c.respond(http.StatusBadRequest, "", nil)
	case u.draining || u.Faults.Rejecting:
		c.reject(http.StatusServiceUnavailable)
	default:
		c.serve(r, class)
	}
}

// serve starts or queues a request. It rejects the request if the queue is full.
func (c *upstreamConn) serve(r *http1.Request, class int) {
	u := c.upstream
	now := u.Host.Loop().Now()
	cost := u.drawCost(class)
	// The load is the mean cost of the class, as a balancer can't know the cost of a single request.
	if u.service.recordArrival(now, u.ServiceTimes[class].Mean) {
		u.crash()
		return
	}
	c.requestID = r.ID
	if u.Faults.Hanging {
		c.job = &job{state: jobFinished}
		return
	}
	u.service.slowdown = u.Faults.Slowdown
	j := &job{cost: cost, expiresAt: now + r.RemainingTime()}
	j.onStart = func() { c.recordExecution(r) }
	j.onExpired = func() { c.finishJob(func() { c.reject(http.StatusGatewayTimeout) }) }
	j.onDone = func() { c.onJobDone(r, j) }
	if !u.service.admit(j) {
		c.reject(http.StatusServiceUnavailable)
		return
	}
	c.job = j
}

// recordExecution records that the execution of a request begins, or that the request is a duplicate and not executed.
// A duplicate takes the same service time and gets the same kind of response.
func (c *upstreamConn) recordExecution(r *http1.Request) {
	u := c.upstream
	now := u.Host.Loop().Now()
	if r.IdempotencyKey != "" && u.Idempotency.isDuplicate(r.IdempotencyKey, now) {
		u.Recorder.DuplicateDropped(r.ID)
		return
	}
	u.Recorder.RequestExecuted(Execution{RequestID: r.ID, Upstream: u.ID, Zone: u.Zone, IdempotencyKey: r.IdempotencyKey, At: now})
}

// onJobDone makes the calls to the next tier, if there is one, and responds.
// It responds with status 500 if not all calls were served.
func (c *upstreamConn) onJobDone(r *http1.Request, j *job) {
	u := c.upstream
	if u.NextTier == nil {
		c.finishJob(func() { c.respondExecuted(r) })
		return
	}
	u.NextTier.Call(r.ID, j.expiresAt-u.Host.Loop().Now(), func(served bool) {
		switch {
		case c.job != j || c.conn.closed:
		case served:
			c.finishJob(func() { c.respondExecuted(r) })
		default:
			c.finishJob(func() { c.respond(http.StatusInternalServerError, "", nil) })
		}
	})
}

// finishJob ends the current job, calls respond, and handles the data that was received after the request.
func (c *upstreamConn) finishJob(respond func()) {
	c.job = nil
	respond()
	if len(c.unparsed) > 0 && c.job == nil && !c.ignoreInput && !c.conn.closed {
		unparsed := c.unparsed
		c.unparsed = nil
		c.onData(unparsed)
	}
}

// respondExecuted responds to an executed request, with status 200 and a unique body.
// Active faults may replace the response by status 500 or corrupt it.
func (c *upstreamConn) respondExecuted(r *http1.Request) {
	u := c.upstream
	if u.faultStream(names.ErrorResponseStream).Chance(u.Faults.ErrorFraction) {
		c.respond(http.StatusInternalServerError, "", nil)
		return
	}
	body := u.produceBody(r.ID)
	if u.faultStream(names.CorruptResponseStream).Chance(u.Faults.CorruptFraction) {
		c.respondCorrupted(http.StatusOK, body)
		return
	}
	u.Recorder.ResponseProduced(r.ID, body)
	c.respond(http.StatusOK, "", body)
}
