package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["6"] = window }

// lateListener is a listening socket with the shortest queue. While it is jammed, its queue is full of the stand-in's own
// connections, so that a new connection comes up only with the second SYN, 1 s later.
type lateListener struct {
	net.Listener
	file *os.File // the same socket; its descriptor is used to change the length of the queue
	fd   int

	mu     sync.Mutex
	open   chan struct{} // closed while connections are accepted
	filler []net.Conn
}

func newLateListener() (*lateListener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 64); err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	l, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	open := make(chan struct{})
	close(open)
	return &lateListener{Listener: l, file: file, fd: fd, open: open}, nil
}

// Accept waits while the listener is jammed.
func (l *lateListener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		open := l.open
		l.mu.Unlock()
		<-open
		l.Listener.(*net.TCPListener).SetDeadline(time.Now().Add(5 * time.Millisecond))
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			return nil, err
		}
	}
}

// jam fills the queue.
func (l *lateListener) jam() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open = make(chan struct{})
	time.Sleep(8 * time.Millisecond) // the present Accept ends
	syscall.Listen(l.fd, 0)
	for range 4 {
		c, err := net.DialTimeout("tcp4", l.Addr().String(), 10*time.Millisecond)
		if err != nil {
			return
		}
		l.filler = append(l.filler, c)
	}
}

// clear accepts again. The filler connections are closed.
func (l *lateListener) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.filler {
		c.Close()
	}
	l.filler = nil
	syscall.Listen(l.fd, 64)
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}

// keyMemory is what the upstreams of the group know of the keys that they have run.
type keyMemory struct {
	mu   sync.Mutex
	runs map[string][]arrival
}

// run reports whether a request runs: its key is new, or has been forgotten.
func (k *keyMemory) run(a arrival, window float64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if before := k.runs[a.key]; len(before) > 0 && a.lastByte-before[0].lastByte <= window {
		return false
	}
	k.runs[a.key] = append(k.runs[a.key], a)
	return true
}

const (
	windowMS      = 1000.0
	windowSlack   = 0.050 + 0.150 // the slack on sockets, and a balancer that is held up
	holdBeforeEnd = 600 * time.Millisecond
)

// window plays keyed requests whose first attempt is reset, while new connections come up late.
func window(s *scene) (int, error) {
	memory := &keyMemory{runs: map[string][]arrival{}}
	var ups []*upstream
	var late []*lateListener
	var members []member
	var first sync.Map // keys whose first attempt has come
	const fleet = 6
	for i := range fleet {
		l, err := newLateListener()
		if err != nil {
			return couldNot, err
		}
		u := &upstream{scene: s, id: fmt.Sprintf("s-%02d", i), listener: l, service: 60 * time.Millisecond}
		u.serve = func(u *upstream, c net.Conn, r *http.Request, a arrival) bool {
			if a.key == "" {
				time.Sleep(u.service)
				answerAndClose(c, a)
				return false
			}
			ran := memory.run(a, windowMS/1000)
			s.log("%s: request %s with key %s, run: %t", u.id, a.id, a.key, ran)
			if _, repeat := first.LoadOrStore(a.key, true); repeat || !s.trouble {
				time.Sleep(u.service)
				answerAndClose(c, a)
				return false
			}
			time.Sleep(holdBeforeEnd - 60*time.Millisecond)
			var jams sync.WaitGroup
			for j, l := range late {
				if ups[j] != u {
					jams.Go(l.jam)
				}
			}
			jams.Wait()
			time.Sleep(30 * time.Millisecond)
			s.log("%s: connection of request %s is reset; new connections to the others come up late", u.id, a.id)
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			time.Sleep(400 * time.Millisecond)
			for _, l := range late {
				l.clear()
			}
			return false
		}
		go u.accept()
		ups, late = append(ups, u), append(late, l)
		members = append(members, u.member("ljubljana", "in_service", 0))
	}
	d, err := s.newDiscovery(members)
	if err != nil {
		return couldNot, err
	}
	set := settings(classSettings("porocilo", "retryable", "all", 800, 2000, 5000), classSettings("arhiv", "dedup", "zone", 2500, 6000, windowMS))
	set["limits"].(object)["connect_timeout_ms"] = 1500.0
	c := configuration{name: "n1", listen: freeAddress(), discovery: d.address(), sockets: 512, memoryMB: 96,
		known: update{Revision: 40, Complete: true, Members: members}, settings: set}
	b, err := s.launch(c, "n1", nil)
	if err != nil {
		return couldNot, err
	}
	if err := b.waitReady(c.listen, "/-/ready", 10*time.Second); err != nil {
		return couldNot, err
	}
	cl := &clients{scene: s, address: c.listen, patience: 500 * time.Millisecond}
	done := make(chan struct{})
	go func() {
		cl.load(20, 47*time.Second, func(int) request {
			return request{id: newID(), class: "porocilo", method: "GET", remaining: time.Second}
		})
		close(done)
	}()
	time.Sleep(4 * time.Second)
	for i := range 10 {
		go cl.send(request{id: newID(), class: "arhiv", method: "POST", key: fmt.Sprintf("key-%d", i), body: "thesis", remaining: 3 * time.Second})
		time.Sleep(4 * time.Second)
	}
	<-done
	cl.sending.Wait()
	twice, keys := 0, 0
	for key, runs := range memory.runs {
		keys++
		if len(runs) > 1 && runs[1].lastByte-runs[0].lastByte > windowMS/1000+windowSlack {
			twice++
			s.log("BROKEN: key %s ran at %s at %.4f, and again at %s at %.4f, %.0f ms later", key, runs[0].upstream, runs[0].lastByte,
				runs[1].upstream, runs[1].lastByte, 1000*(runs[1].lastByte-runs[0].lastByte))
		}
	}
	s.say("requests by status: %v; keys: %d; keys that ran twice, with the second run more than 1200 ms after the first: %d", cl.statuses(), keys, twice)
	if keys < 10 || cl.statuses()[200] < len(cl.answers)/2 {
		return couldNot, fmt.Errorf("too few requests came through")
	}
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}

// answerAndClose answers a request and says that the connection ends.
func answerAndClose(c net.Conn, a arrival) {
	body := a.id + "@" + a.upstream
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
