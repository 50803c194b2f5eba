package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	leavingClients = 1500
	leavingGap     = 20 * time.Millisecond   // time between two of them
	longBody       = 1 << 20                 // bytes
	holdBound      = 2050 * time.Millisecond // how long the rest of an answer may be held back: 2 s (DAYS.md), 50 ms for sockets
)

// sendAndGo lets clients send a long request at once and go. After that, usual clients send long requests and ask
// for long answers, 3 s later and 20 s later.
func sendAndGo() {
	s := newSite()
	for i := range 8 {
		s.startUpstream(fmt.Sprintf("s-%d", i), "ljubljana", i/4, "rate=10000", "oddaja=100", "arhiv=100",
			"porocilo=60:300000")
	}
	s.startBalancer(96, 512, settings(1, porocilo(), oddaja(), arhiv()))
	s.sendLeavingClients()
	lost, sent := 0, 0
	for round, pause := range []time.Duration{3 * time.Second, 20 * time.Second} {
		time.Sleep(pause)
		s.note("round %d of the usual clients, %v after the last other request", round+1, pause)
		l, n := s.sendUsualClients(0xe000 + 256*round)
		lost, sent = lost+l, sent+n
	}
	if !s.alive(s.balancer) {
		s.finish(exitBroken, "the balancer ended")
	}
	if lost > 0 {
		s.finish(exitBroken, fmt.Sprintf("broken: %d of %d requests of usual clients were lost", lost, sent))
	}
	s.finish(exitHeld, fmt.Sprintf("held: all %d requests of usual clients were answered in time", sent))
}

// sendLeavingClients sends long requests, at most 60 at once. With the disruption, the clients close their
// connection right after the last byte. Without it, they stay for the answer.
func (s *site) sendLeavingClients() {
	var wg sync.WaitGroup
	slots := make(chan struct{}, 60)
	calls := make([]*call, leavingClients)
	for i := range calls {
		c := &call{id: fmt.Sprintf("%016x", 0xd0000+i), class: "oddaja", method: "POST", body: longBody,
			remaining: 1500 * time.Millisecond, wait: 1500*time.Millisecond + lateBound}
		if troubled() {
			c.leaveAt = time.Nanosecond
		}
		calls[i] = c
		slots <- struct{}{}
		wg.Go(func() { c.do(s); <-slots })
		time.Sleep(leavingGap)
	}
	wg.Wait()
	statuses := map[int]int{}
	left := 0
	for _, c := range calls {
		if c.closed > 0 {
			left++
		} else {
			statuses[c.status]++
		}
	}
	s.note("%d clients sent a request of %d body bytes: %d left at once, answers by status: %v", len(calls), longBody,
		left, statuses)
}

// sendUsualClients sends five long requests and asks for five long answers, and returns how many were lost.
func (s *site) sendUsualClients(firstID int) (lost, sent int) {
	var wg sync.WaitGroup
	var calls []*call
	var reads []*longRead
	for i := range 5 {
		c := &call{id: fmt.Sprintf("%016x", firstID+2*i), class: "oddaja", method: "POST", body: 200000,
			remaining: 1500 * time.Millisecond, wait: 1500*time.Millisecond + lateBound + 50*time.Millisecond}
		r := &longRead{id: fmt.Sprintf("%016x", firstID+2*i+1)}
		calls = append(calls, c)
		reads = append(reads, r)
		wg.Go(func() { c.do(s) })
		wg.Go(func() { r.do(s) })
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	for _, c := range calls {
		lost += s.judgeAnswer(c)
	}
	for _, r := range reads {
		lost += s.judgeRead(r)
	}
	return lost, len(calls) + len(reads)
}

// longRead asks for a long answer and records its progress.
type longRead struct {
	id     string
	status int
	bytes  int64
	length int64
	heldMS float64 // longest time without a byte of the body, after the first one
	err    error
}

func (r *longRead) do(s *site) {
	connection, err := net.Dial("tcp", s.listen)
	if err != nil {
		r.err = err
		return
	}
	defer connection.Close()
	request := call{id: r.id, class: "porocilo", method: "GET", remaining: time.Second}
	if _, r.err = connection.Write(request.encode()); r.err != nil {
		return
	}
	connection.SetReadDeadline(time.Now().Add(time.Second + lateBound))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		r.err = err
		return
	}
	r.status, r.length = response.StatusCode, response.ContentLength
	buffer := make([]byte, 16<<10)
	for last := nowMS(); r.bytes < r.length; last = nowMS() {
		connection.SetReadDeadline(time.Now().Add(holdBound + 200*time.Millisecond))
		n, err := response.Body.Read(buffer)
		r.bytes += int64(n)
		r.heldMS = max(r.heldMS, nowMS()-last)
		if err != nil && r.bytes < r.length {
			r.err = err
			return
		}
	}
}

// judgeRead records the progress of an answer, and returns 1 if the answer did not come in time or was held back.
func (s *site) judgeRead(r *longRead) int {
	verdict, lost := "", 0
	if r.status == 0 || r.err != nil || r.heldMS > float64(holdBound.Milliseconds()) {
		verdict, lost = ": LOST", 1
	}
	s.note("client %s: status %d, %d of %d bytes of the answer, held back for up to %.0f ms (%v)%s", r.id, r.status,
		r.bytes, r.length, r.heldMS, r.err, verdict)
	return lost
}
