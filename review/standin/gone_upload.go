package main

import (
	"fmt"
	"sync"
	"time"
)

// goneBound is how long after a client's close an attempt for its request may still begin: 0.1 s (STANDING.md),
// and 50 ms for sockets (PROTOCOL.md).
const goneBound = 150 * time.Millisecond

// goneUpload sends bursts of requests, so that some wait in the balancer. The clients of long requests leave early.
func goneUpload() {
	s := newSite()
	for i := range 2 {
		s.startUpstream(fmt.Sprintf("s-%d", i), "ljubljana", 0, "oddaja=350", "arhiv=350")
	}
	s.startBalancer(192, 1024, settings(1, porocilo(), oddaja(), arhiv()))
	var calls []*call
	var wg sync.WaitGroup
	send := func(c *call) {
		c.wait = c.remaining + lateBound
		calls = append(calls, c)
		wg.Go(func() { c.do(s) })
	}
	for round := range 5 {
		for i := range 18 { // more than the balancer sends to two upstreams at once, so the next ones wait
			send(&call{id: fmt.Sprintf("%016x", 0xb000+round*256+i), class: "oddaja", method: "POST", body: 200,
				remaining: 1500 * time.Millisecond})
		}
		time.Sleep(20 * time.Millisecond)
		for i := range 3 {
			c := &call{id: fmt.Sprintf("%016x", 0xc000+round*256+i), class: "arhiv", method: "POST",
				key: fmt.Sprintf("key-%d-%d", round, i), body: 100 << 10, remaining: 3 * time.Second}
			if troubled() && i == 0 {
				c.leaveAt = 60 * time.Millisecond
			}
			send(c)
		}
		time.Sleep(2500 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	begun := s.upstreamEvents("begin")
	whole := s.upstreamEvents("whole")
	broken := 0
	for _, c := range calls {
		if c.closed == 0 {
			s.noteAt(c.lastByte, "client %s: sent, status %d %v", c.id, c.status, c.err)
			continue
		}
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
	if !s.alive(s.balancer) {
		s.finish(exitBroken, "the balancer ended")
	}
	if broken > 0 {
		s.finish(exitBroken, fmt.Sprintf("broken: %d attempts began more than 0.15 s after the client's close", broken))
	}
	s.finish(exitHeld, "held: no attempt began more than 0.15 s after the client's close")
}
