package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that an upstream has got.
type arrival struct {
	id        string
	class     string
	upstream  string
	key       string
	remaining string
	body      int
	firstByte float64 // time of its first byte
	lastByte  float64 // time of its last byte
}

// upstream is a sound upstream: it answers each request with 200 after its service time.
type upstream struct {
	scene    *scene
	id       string
	listener net.Listener

	mu       sync.Mutex
	arrivals []arrival
	serve    func(u *upstream, c net.Conn, r *http.Request, a arrival) bool // nil: answer; false: end the connection
	service  time.Duration
}

// newUpstream starts an upstream on a free loopback port.
func (s *scene) newUpstream(id string, service time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{scene: s, id: id, listener: l, service: service}
	go u.accept()
	return u, nil
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.handle(c)
	}
}

func (u *upstream) handle(c net.Conn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 64<<10)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := u.scene.now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		a := arrival{id: r.Header.Get("X-Txn"), class: r.Header.Get("X-Lane"), upstream: u.id, key: r.Header.Get("Idempotency-Key"),
			remaining: r.Header.Get("X-Remaining"), body: int(n), firstByte: first, lastByte: u.scene.now()}
		u.mu.Lock()
		u.arrivals = append(u.arrivals, a)
		serve := u.serve
		u.mu.Unlock()
		u.scene.log("%s: got %s %s, first byte %.4f, last byte %.4f, body %d bytes, key %q, told %s s", u.id, a.class, a.id, a.firstByte, a.lastByte,
			a.body, a.key, a.remaining)
		if serve != nil {
			if !serve(u, c, r, a) {
				return
			}
			continue
		}
		time.Sleep(u.service)
		if !u.answer(c, a) {
			return
		}
	}
}

// answer answers a request with its id and the upstream's own.
func (u *upstream) answer(c net.Conn, a arrival) bool {
	body := a.id + "@" + u.id
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Pressure: util=0.30,latency_ms=20\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// got returns the requests that the upstream has got so far.
func (u *upstream) got() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// member returns the entry of the upstream in the list.
func (u *upstream) member(zone, phase string, upSince int64) member {
	return member{ID: u.id, HostPort: u.listener.Addr().String(), Locality: zone, Flavor: "primerjava-2c", Phase: phase,
		Size: 1, UpSinceMS: upSince}
}
