package main

import (
	"fmt"
	"sync"
	"time"
)

// goneBound is how long after a client's close an attempt for its request may still begin: 0.1 s (STANDING.md),
// and 50 ms for sockets (PROTOCOL.md).
const goneBound = 150 * time.Millisecond

const (
	bursts         = 5
	burstRequests  = 18 // more than the balancer sends to two upstreams at once, so the next ones wait
	longPerBurst   = 3  // long requests right after a burst; one of their clients leaves
	leaveAfter     = 60 * time.Millisecond
	betweenBursts  = 2500 * time.Millisecond
	afterBurst     = 20 * time.Millisecond
	longestRequest = 3 * time.Second
)

// goneUpload sends bursts of requests, so that some wait in the balancer. Clients of long requests leave early.
func goneUpload() {
	s := newSite()
	for i := range 2 {
		s.startUpstream(fmt.Sprintf("s-%d", i), "ljubljana", 0, "oddaja=350", "arhiv=350")
	}
	s.startBalancer(192, 1024, settings(1, porocilo(), oddaja(), arhiv()))
	var calls []*call
	var wg sync.WaitGroup
	for round := range bursts {
		for _, c := range append(burst(round), longRequests(round)...) {
			if c.body == longUpload && c.id == longID(round, 0) {
				time.Sleep(afterBurst)
			}
			c.wait = c.remaining + lateBound
			calls = append(calls, c)
			wg.Go(func() { c.do(s) })
		}
		time.Sleep(betweenBursts)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond) // for the last lines of the upstreams
	broken := s.judgeAttempts(calls)
	if !s.alive(s.balancer) {
		s.finish(exitBroken, "the balancer ended")
	}
	if broken > 0 {
		s.finish(exitBroken, fmt.Sprintf("broken: %d attempts began more than 0.15 s after the client's close", broken))
	}
	s.finish(exitHeld, "held: no attempt began more than 0.15 s after the client's close")
}

func burst(round int) []*call {
	var calls []*call
	for i := range burstRequests {
		calls = append(calls, &call{id: fmt.Sprintf("%016x", 0xb000+round*256+i), class: "oddaja", method: "POST",
			body: 200, remaining: 1500 * time.Millisecond})
	}
	return calls
}

const longUpload = 100 << 10 // bytes

func longID(round, i int) string { return fmt.Sprintf("%016x", 0xc000+round*256+i) }

func longRequests(round int) []*call {
	var calls []*call
	for i := range longPerBurst {
		c := &call{id: longID(round, i), class: "arhiv", method: "POST", key: fmt.Sprintf("key-%d-%d", round, i),
			body: longUpload, remaining: longestRequest}
		if troubled() && i == 0 {
			c.leaveAt = leaveAfter
		}
		calls = append(calls, c)
	}
	return calls
}

// judgeAttempts records all calls, and returns how many attempts began too late after their client's close.
func (s *site) judgeAttempts(calls []*call) int {
	begun := s.upstreamEvents("begin")
	whole := s.upstreamEvents("whole")
	broken := 0
	for _, c := range calls {
		if c.closed == 0 {
			s.noteAt(c.lastByte, "client %s: sent, status %d %v", c.id, c.status, c.err)
			continue
		}
		s.noteAt(c.lastByte, "client %s: last byte of %d body bytes written", c.id, c.body)
		s.noteAt(c.closed, "client %s: closed its connection", c.id)
		for _, e := range begun[c.id] {
			after := e.AtMS - c.closed
			if after > float64(goneBound.Milliseconds()) {
				broken++
				s.noteAt(e.AtMS, "attempt for %s begins %.0f ms after its client's close, whole: %v: LOST", c.id, after,
					len(whole[c.id]) > 0)
			}
		}
	}
	return broken
}
