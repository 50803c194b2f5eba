package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// lateBound is how long after its time a request may get its final answer and only earn nothing: half a second
// (STANDING.md), and 50 ms for sockets (PROTOCOL.md).
const lateBound = 550 * time.Millisecond

// hungUpload stops one of five upstreams for 6 s while clients send requests with long bodies.
func hungUpload() {
	s := newSite()
	for i := range 5 {
		s.startUpstream(fmt.Sprintf("s-%d", i), "ljubljana", i/3, "oddaja=120")
	}
	s.startBalancer(192, 1024, settings(1, porocilo(), oddaja(), arhiv()))
	stopped := time.Now()
	if troubled() {
		s.note("upstream s-0 is stopped (SIGSTOP)")
		s.upstreams[0].Process.Signal(syscall.SIGSTOP)
		time.AfterFunc(6*time.Second, func() {
			s.note("upstream s-0 is continued (SIGCONT)")
			s.upstreams[0].Process.Signal(syscall.SIGCONT)
		})
	}
	var calls []*call
	var wg sync.WaitGroup
	for i := range 24 {
		c := &call{id: fmt.Sprintf("%016x", 0xa000+i), class: "oddaja", method: "POST", body: 1 << 20,
			remaining: 1500 * time.Millisecond, wait: 1500*time.Millisecond + lateBound + 100*time.Millisecond}
		calls = append(calls, c)
		wg.Go(func() { c.do(s) })
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Until(stopped.Add(7 * time.Second))) // the record shows what the upstream gets when it continues
	lost := 0
	for _, c := range calls {
		lost += s.judgeAnswer(c)
	}
	if !s.alive(s.balancer) {
		s.finish(exitBroken, "the balancer ended")
	}
	if lost > 0 {
		s.finish(exitBroken, fmt.Sprintf("broken: %d of %d requests were lost", lost, len(calls)))
	}
	s.finish(exitHeld, fmt.Sprintf("held: %d requests got their final answer in time", len(calls)))
}

// judgeAnswer records a call, and returns 1 if it was taken and got no final answer within its time and lateBound.
func (s *site) judgeAnswer(c *call) int {
	if c.lastByte == 0 {
		s.note("client %s: its last byte was not written (%v): not taken", c.id, c.err)
		return 0
	}
	s.noteAt(c.lastByte, "client %s: last byte of %d body bytes written, X-Remaining %.3f s", c.id, c.body,
		c.remaining.Seconds())
	due := c.lastByte + float64((c.remaining + lateBound).Milliseconds())
	if c.answered == 0 {
		s.noteAt(due, "client %s: no answer (%v): LOST", c.id, c.err)
		return 1
	}
	late := c.answered - c.lastByte - float64(c.remaining.Milliseconds())
	if c.answered > due {
		s.noteAt(c.answered, "client %s: status %d, %.0f ms after its time: LOST", c.id, c.status, late)
		return 1
	}
	s.noteAt(c.answered, "client %s: status %d", c.id, c.status)
	return 0
}
