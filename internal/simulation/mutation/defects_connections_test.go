package mutation

import "salttrack/internal/simulation/names"

// connectionDefects are defects of the connections, the HTTP decoder and the event loop.
var connectionDefects = []defect{
	{
		name:  "a second answer",
		rules: []names.Rule{names.ExtraResponse},
		edits: []edit{
			{
				file: "internal/downstream/response.go",
				old: `	c.stopTimer()
	w.write()`,
				new: `	if c.stopTimer(); head.Status == 503 {
		w.unsent = append(w.unsent, w.unsent...)
	}
	w.write()`,
			},
		},
	},
	{
		name:  "a leaked descriptor",
		rules: []names.Rule{names.LeakedState},
		edits: []edit{
			{
				file: "internal/downstream/server.go",
				old: `		s.Loop.Close(s.listener)
		s.listener = -1
	}`,
				new: `		s.listener = -1
	}`,
			},
		},
	},
	{
		name:  "a leaked timer",
		rules: []names.Rule{names.LeakedState},
		edits: []edit{
			{
				file: "internal/downstream/shutdown.go",
				old: `	s.drain.done = nil
	s.stopPhaseTimers()
`,
				new: `	s.drain.done = nil
`,
			},
		},
	},
	{
		name:  "an answer crossed between requests",
		rules: []names.Rule{names.CrossedResponse},
		edits: []edit{
			{
				file: "internal/upstream/pool.go",
				old: `	if c := p.active[a]; c != nil {
		c.detach()
		c.close(reasonAttemptCancelled)`,
				new: `	if c := p.active[a]; c != nil {
		unsent := c.state == stateConnecting || !a.RequestComplete
		c.detach()
		if unsent || c.decoder.Started() || c.endpoint.removed {
			c.close(reasonAttemptCancelled)
			return
		}
		c.makeIdle()`,
			},
		},
	},
	{
		name:       "an old connection used for a new id at the same address",
		rules:      []names.Rule{names.DrainingUpstreamUsed},
		faultTypes: []names.FaultType{names.ReplaceUpstream, names.DrainUpstream, names.RollingDeploy, names.SlowUpstream, names.LoadSurge, names.NewConnections},
		edits: []edit{
			{
				file: "internal/upstream/pool.go",
				old: `	if e := p.endpoints[id]; e != nil {
		p.closeIdle(e)
	}
	for _, c := range p.activeConnections() {`,
				new: `	for _, c := range p.activeConnections() {`,
			},
			{
				file: "internal/upstream/pool.go",
				old: `	p.closeIdle(e)
	e.removed = true
	delete(p.endpoints, id)`,
				new: `	e.removed = true`,
			},
			{
				file: "internal/upstream/pool.go",
				old: `		e = &endpoint{id: id}
		p.endpoints[id] = e`,
				new: `		e = &endpoint{id: id}
		for _, other := range p.endpoints {
			if other.address == address && other.removed {
				e = other
				e.removed = false
				e.startedAt = startedAt
			}
		}
		p.endpoints[id] = e`,
			},
		},
	},
	{
		name:  "a request hidden in another's body",
		rules: []names.Rule{names.MalformedInputAccepted, names.UnknownRequest},
		quick: true,
		edits: []edit{
			{
				file: "internal/http1/decoder.go",
				old:  `if d.framing.transferCoding && d.framing.contentLength >= 0 {`,
				new:  `if false {`,
			},
		},
	},
	{
		name:  "a path that is read two ways",
		rules: []names.Rule{names.MalformedInputAccepted, names.UnknownRequest, names.CounterMismatch},
		edits: []edit{
			{
				file: "internal/http1/request.go",
				old:  `!isUnambiguousPath(path)`,
				new:  `len(path) == 0`,
			},
		},
	},
	{
		name:  "time given twice after a lost core",
		rules: []names.Rule{names.LateResponse},
		edits: []edit{
			{
				file: "internal/loop/loop.go",
				old: `		l.earliestArrival = start
`,
				new: `		l.earliestArrival = end
`,
			},
		},
	},
	{
		name:  "a silent connection never closed",
		rules: []names.Rule{names.MalformedInputAccepted},
		edits: []edit{
			{
				file: "internal/downstream/reader.go",
				old: `		c.startTimer(requestTimeout, (*conn).requestTimedOut)
	default:`,
				new: `	default:`,
			},
		},
	},
	{
		name:  "a failure for a moment taken for the end",
		rules: []names.Rule{names.LostRequest, names.Panic, names.LeakedState, names.CounterMismatch},
		quick: true,
		edits: []edit{
			{
				file: "internal/loop/io.go",
				old: `	case isTransient(err):
		l.markUnread(fd)`,
				new: `	case false:
		l.markUnread(fd)`,
			},
		},
	},
	{
		name:       "spans measured by the clock that is stepped",
		rules:      []names.Rule{names.LostRequest, names.LateResponse, names.Panic, names.LeakedState, names.ShutdownTimeout, names.CounterMismatch, names.DrainingUpstreamUsed, names.MalformedInputAccepted},
		faultTypes: []names.FaultType{names.ClockStep, names.SlowUpstream, names.LoadSurge},
		edits: []edit{
			{
				file: "internal/loop/loop.go",
				old:  `func (l *Loop) Now() float64 { return l.kernel.Now() }`,
				new:  `func (l *Loop) Now() float64 { return l.kernel.Wall() }`,
			},
		},
	},
	{
		name:       "a short write taken for the whole answer",
		rules:      []names.Rule{names.Panic, names.LostRequest, names.LateResponse, names.ExtraResponse, names.CrossedResponse, names.LeakedState},
		faultTypes: []names.FaultType{names.ShortReadsWrites, names.SlowUpstream, names.LoadSurge},
		edits: []edit{
			{
				file: "internal/downstream/response.go",
				old:  `		w.unsent = w.unsent[n:]`,
				new:  `		w.unsent = w.unsent[:0]`,
			},
		},
	},
	{
		name:  "a watch that is not tried again",
		rules: []names.Rule{names.LostRequest, names.LateResponse, names.LeakedState, names.Panic},
		edits: []edit{
			{
				file: "internal/loop/watch.go",
				old: `	l.unsynced[fd] = struct{}{}
`,
				new: ``,
			},
		},
	},
	{
		name:  "an event left unhandled",
		rules: []names.Rule{names.Panic},
		edits: []edit{
			{
				file: "internal/downstream/pending.go",
				old: `	if events&(loop.HangUp|loop.Failed) != 0 {
		p.conn.clientDisconnected()
		return
	}
	p.conn.reader.unread.readAhead()`,
				new: `	_ = events & loop.HangUp`,
			},
		},
	},
}
