package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	uploads       = 320 // long requests, sent evenly over 1.25 s; their clients wait 2.05 s at most
	uploadGap     = 3900 * time.Microsecond
	crashAfter    = 5100 * time.Millisecond // from the stop of the upstream until its process is killed
	holdUp        = 140 * time.Millisecond  // the balancer is held up around the crash
	slowReaders   = 240
	readBytes     = 6400 // a slow reader takes this much every 100 ms: 64 kB/s
	shortWorkers  = 10
	shortDuration = 9 * time.Second
)

// wrongConnection stops one of four upstreams, sends a burst of long requests, and kills the upstream while the balancer is
// held up for 0.14 s. After that, usual clients ask for long answers, which they read at 64 kB/s, and for short ones.
func wrongConnection() {
	s := newSite()
	for i := range 4 {
		s.startUpstream(fmt.Sprintf("s-%d", i), "ljubljana", i/2, "oddaja=150", "arhiv=100", "porocilo=60:800000")
	}
	s.startBalancer(192, 1024, settings(1, porocilo(), oddaja(), arhiv()))
	begin := time.Now()
	if troubled() {
		s.note("upstream s-0 is stopped (SIGSTOP)")
		s.upstreams[0].Process.Signal(syscall.SIGSTOP)
	}
	var wg sync.WaitGroup
	for i := range uploads {
		c := &call{id: fmt.Sprintf("%016x", 0x10000+i), class: "oddaja", method: "POST", body: 1 << 20,
			remaining: 1500 * time.Millisecond, wait: 1500*time.Millisecond + lateBound}
		wg.Go(func() { c.do(s) })
		time.Sleep(uploadGap)
	}
	wg.Wait()
	s.note("the clients of the long requests have their answer, or have given up")
	time.Sleep(time.Until(begin.Add(crashAfter)))
	if troubled() {
		s.crashInHoldUp()
	}
	all := s.sendUsual()
	s.balancer.Process.Signal(syscall.SIGUSR1) // the record shows the counters
	time.Sleep(200 * time.Millisecond)
	s.judgeUsual(all)
}

// crashInHoldUp kills the stopped upstream while the balancer is held up.
func (s *site) crashInHoldUp() {
	s.balancer.Process.Signal(syscall.SIGSTOP)
	s.note("the balancer is held up (SIGSTOP)")
	time.Sleep(10 * time.Millisecond)
	s.upstreams[0].Process.Kill()
	s.note("upstream s-0 has crashed (SIGKILL)")
	time.Sleep(holdUp - 10*time.Millisecond)
	s.balancer.Process.Signal(syscall.SIGCONT)
	s.note("the balancer goes on (SIGCONT)")
}

// usual is the result of one request of a usual client.
type usual struct {
	id      string
	class   string
	status  int
	bytes   int64
	length  int64
	at      float64 // end of the answer or of the connection
	foreign string  // bytes of the body that are not the upstream's
	err     error
}

// sendUsual sends the requests of the usual clients, all on new connections.
func (s *site) sendUsual() []*usual {
	var mu sync.Mutex
	var all []*usual
	var wg sync.WaitGroup
	run := func(u *usual, rate time.Duration) {
		u.do(s, rate)
		mu.Lock()
		all = append(all, u)
		mu.Unlock()
	}
	for i := range slowReaders {
		u := &usual{id: fmt.Sprintf("%016x", 0x20000+i), class: "porocilo"}
		wg.Go(func() { run(u, 100*time.Millisecond) })
		time.Sleep(6 * time.Millisecond)
	}
	stop := time.Now().Add(shortDuration)
	for w := range shortWorkers {
		wg.Go(func() {
			for i := 0; time.Now().Before(stop); i++ {
				run(&usual{id: fmt.Sprintf("%016x", 0x30000+w*0x1000+i), class: "arhiv"}, 0)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return all
}

// do sends one request and reads its answer, with a pause after each part of it.
func (u *usual) do(s *site, pause time.Duration) {
	defer func() { u.at = nowMS() }()
	connection, err := net.Dial("tcp", s.listen)
	if err != nil {
		u.err = err
		return
	}
	defer connection.Close()
	q := call{id: u.id, class: u.class, method: "GET", remaining: time.Second}
	if u.class == "arhiv" {
		q = call{id: u.id, class: u.class, method: "POST", key: u.id, body: 100, remaining: time.Second}
	}
	if _, u.err = connection.Write(q.encode()); u.err != nil {
		return
	}
	connection.SetReadDeadline(time.Now().Add(time.Second + lateBound))
	response, err := http.ReadResponse(bufio.NewReaderSize(connection, readBytes), nil)
	if err != nil {
		u.err = err
		return
	}
	u.status, u.length = response.StatusCode, response.ContentLength
	buffer := make([]byte, readBytes)
	own := "answer to " + u.id
	for {
		connection.SetReadDeadline(time.Now().Add(holdBound))
		n, err := io.ReadFull(response.Body, buffer)
		u.compare(own, buffer[:n])
		u.bytes += int64(n)
		if err != nil {
			if !errors.Is(err, io.EOF) && !(errors.Is(err, io.ErrUnexpectedEOF) && u.bytes == u.length) {
				u.err = err
			}
			return
		}
		time.Sleep(pause)
	}
}

// compare records bytes of a 200 answer that its upstream did not send: its body is own, filled up with dots.
func (u *usual) compare(own string, part []byte) {
	if u.status != http.StatusOK || u.foreign != "" {
		return
	}
	text := string(part)
	if u.bytes == 0 {
		text = strings.TrimPrefix(text, own)
	}
	if rest := strings.TrimLeft(text, "."); rest != "" {
		u.foreign = rest[:min(len(rest), 60)]
	}
}

// judgeUsual records what the usual clients saw, and ends the run.
func (s *site) judgeUsual(all []*usual) {
	lost, foreign, statuses := 0, 0, map[int]int{}
	for _, u := range all {
		statuses[u.status]++
		switch {
		case u.foreign != "":
			foreign++
			s.noteAt(u.at, "client %s: its 200 answer has %q after %d bytes: FOREIGN", u.id, u.foreign, u.bytes)
		case u.status == http.StatusRequestTimeout:
			foreign++
			s.noteAt(u.at, "client %s: 408, but its request was sent whole at once: FOREIGN", u.id)
		case u.err != nil && u.status == 0:
			lost++
			s.noteAt(u.at, "client %s: no answer (%v): LOST", u.id, u.err)
		case u.err != nil:
			lost++
			s.noteAt(u.at, "client %s: answer %d cut off after %d of %d bytes (%v): LOST", u.id, u.status, u.bytes,
				u.length, u.err)
		}
	}
	s.note("usual clients: %d requests, by status %v", len(all), statuses)
	if !s.alive(s.balancer) {
		s.finish(exitBroken, "the balancer ended")
	}
	verdict := fmt.Sprintf("%d of %d answers to usual clients were lost or cut off, %d had foreign bytes", lost,
		len(all), foreign)
	if lost > 0 || foreign > 0 {
		s.finish(exitBroken, "broken: "+verdict)
	}
	s.finish(exitHeld, "held: "+verdict)
}
