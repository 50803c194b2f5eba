package driver

import (
	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/exchange"
	"salttrack/internal/invariant"
	"salttrack/internal/memory"
	"salttrack/internal/trace"
)

// HandleRequest reports a new request to the Balancer. The final response may be sent before HandleRequest returns.
func (d *Driver) HandleRequest(x *exchange.Exchange) {
	x.ID = d.nextRequestID()
	d.exchanges[x.ID] = x
	d.memory.Add(memory.Requests, exchangeBytes)
	x.ClassRules = &d.classes[x.Class]
	x.RespondBy = min(x.RespondBy, d.shutdownDeadline)
	d.counters.accepted.Inc()
	now := d.now()
	d.balancer.OnRequest(now, &balance.RequestArrived{
		Request:        x.ID,
		Class:          x.Class,
		Tenant:         x.Tenant,
		ExpiresIn:      max(0, x.RespondBy-now),
		BodyIncomplete: x.BodyIncomplete,
	})
	d.executeActions()
}

// nextRequestID returns an id that no current exchange has. Ids wrap around after 2^32 requests. 0 is not used.
func (d *Driver) nextRequestID() balance.RequestID {
	d.lastRequestID++
	for d.lastRequestID == 0 || d.exchanges[d.lastRequestID] != nil {
		d.lastRequestID++
	}
	return d.lastRequestID
}

// RequestComplete reports that the last byte of a request has been received, for a request that was incomplete when it
// arrived. The caller must have set x.RespondBy, which becomes the timeout of the attempts in flight.
func (d *Driver) RequestComplete(x *exchange.Exchange) {
	x.BodyIncomplete = false
	x.RespondBy = min(x.RespondBy, d.shutdownDeadline)
	if x.Disposition() != exchange.InProgress {
		return
	}
	for _, a := range x.Attempts {
		if !a.Ended {
			d.setTimeout(a, x.RespondBy)
		}
	}
	now := d.now()
	d.balancer.OnBodyComplete(now, x.ID, max(0, x.RespondBy-now))
	d.executeActions()
}

// RequestExpired reports that the deadline of an exchange has passed, although the last byte of its request has not been
// read yet. The exchange gets its final response within the next turn of the event loop.
func (d *Driver) RequestExpired(x *exchange.Exchange) {
	if x.Disposition() == exchange.InProgress {
		d.shortenDeadline(x, d.now())
	}
}

// ClientDisconnected reports that the client of an exchange has disconnected, or that the rest of its request body was
// rejected. The exchange ends with the disposition Abandoned. If it has already ended, the call has no effect.
func (d *Driver) ClientDisconnected(x *exchange.Exchange) {
	if d.finish(x, exchange.Response{Disposition: exchange.Abandoned}) {
		d.concludeRequest(x.ID)
	}
}

// concludeRequest reports to the Balancer that a request no longer needs a response.
func (d *Driver) concludeRequest(id balance.RequestID) {
	d.balancer.OnRequestConcluded(d.now(), id)
	d.executeActions()
}

// Sendable reports whether an attempt that was waiting for its connection may still be sent. In the meantime the client
// may have disconnected, another attempt may have ended the exchange, the upstream may have started to drain, or the
// deduplication window of the request may have ended.
func (d *Driver) Sendable(a *exchange.Attempt) bool {
	return d.upstreamUsable(a.Upstream) && a.InSendWindow(d.now()) && a.Exchange.Sendable()
}

// ResponseStarted reports that an upstream has started a response that is too long to be buffered.
// The response is streamed to the client while it is being received. It is therefore the final response of the exchange,
// and the attempt no longer has a timeout.
func (d *Driver) ResponseStarted(a *exchange.Attempt, body *bodystream.Stream) {
	x := a.Exchange
	if a.Ended {
		return
	}
	if x.Disposition() != exchange.InProgress {
		body.Abandon()
		d.stopAttempt(a, balance.Cancelled)
		return
	}
	d.clearTimeout(a)
	elapsed := d.now() - a.SentAt
	d.finish(x, exchange.Response{Disposition: exchange.Served, Stream: body})
	d.balancer.OnResponseStarted(d.now(), &balance.ResponseStarted{Request: x.ID, Attempt: a.Number, Elapsed: elapsed})
	d.executeActions()
}

// AttemptEnded reports how an attempt ended. Only the first call for an attempt has an effect.
func (d *Driver) AttemptEnded(a *exchange.Attempt, result exchange.Result) {
	x := a.Exchange
	if !x.EndAttempt(a, result.Outcome.NeverRan()) {
		return
	}
	d.clearTimeout(a)
	d.counters.attemptsEnded[result.Outcome].Inc()
	d.traceAttemptEnded(a, result.Outcome)
	d.respondWithResult(x, &result)
	now := d.now()
	d.balancer.OnAttemptEnded(now, &balance.AttemptEnded{
		Request:          x.ID,
		Attempt:          a.Number,
		Outcome:          result.Outcome,
		Elapsed:          now - a.SentAt,
		RequestDone:      x.Disposition() != exchange.InProgress,
		BodySent:         x.BodySent,
		LoadReported:     result.LoadReported,
		ReportedInFlight: result.ReportedInFlight,
	})
	d.executeActions()
	d.removeFinished(x)
}

// respondWithResult ends the exchange if the outcome of an attempt determines the final response:
// OK and InvalidRequest do, while the Balancer decides what follows from any other outcome.
func (d *Driver) respondWithResult(x *exchange.Exchange, result *exchange.Result) {
	switch result.Outcome {
	case balance.OK:
		d.finish(x, exchange.Response{Disposition: exchange.Served, Body: result.Body})
	case balance.InvalidRequest:
		d.finish(x, exchange.Response{Disposition: exchange.Failed, InvalidRequest: true})
	}
}

// finish ends an exchange with its final response. It returns false and does nothing if the exchange has already ended.
// It counts the response first: while it is sent, the client may turn out to be gone, which ends the attempts of the exchange.
func (d *Driver) finish(x *exchange.Exchange, response exchange.Response) bool {
	if x.Disposition() != exchange.InProgress {
		return false
	}
	d.traceResponse(x, &response)
	if response.Disposition != exchange.Abandoned && d.now() > x.ClientDeadline {
		d.counters.lateResponses.Inc()
	}
	d.counters.countResponse(response.Disposition)
	x.Respond(response)
	d.countRetained(x)
	d.removeFinished(x)
	return true
}

// countRetained counts the request of an exchange that has ended and whose attempts are in flight. Until then, the connection of its
// client counts the request.
func (d *Driver) countRetained(x *exchange.Exchange) {
	if d.exchanges[x.ID] == x {
		x.RetainedBytes = x.MessageBytes
		d.memory.Add(memory.Requests, x.RetainedBytes)
	}
}

// removeFinished removes an exchange if it has ended and has no attempts in flight.
func (d *Driver) removeFinished(x *exchange.Exchange) {
	if x.Finished() && d.exchanges[x.ID] == x {
		delete(d.exchanges, x.ID)
		d.memory.Add(memory.Requests, -exchangeBytes-x.RetainedBytes)
		invariant.Check(len(d.exchanges) >= d.InProgress(), "the driver holds every exchange in progress")
	}
}

// traceAttemptEnded writes a trace event for the end of an attempt. Attempts are counted from 1 in the trace.
func (d *Driver) traceAttemptEnded(a *exchange.Attempt, outcome balance.Outcome) {
	if !d.tracer.Enabled() {
		return
	}
	d.tracer.Write(trace.AttemptEnded, trace.Event{
		Request:   a.Exchange.ClientRequestID,
		Upstream:  a.Upstream,
		Attempt:   a.Number + 1,
		Outcome:   outcomeNames[outcome],
		ElapsedMS: d.now() - a.SentAt,
	})
}

// traceResponse writes a trace event for the end of an exchange.
func (d *Driver) traceResponse(x *exchange.Exchange, response *exchange.Response) {
	if !d.tracer.Enabled() {
		return
	}
	d.tracer.Write(trace.ResponseSent, trace.Event{
		Request:     x.ClientRequestID,
		Outcome:     response.Disposition.String(),
		Reason:      trace.Reason(response.Reason),
		RemainingMS: x.RespondBy - d.now(),
	})
}
