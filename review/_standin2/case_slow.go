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

func init() { cases["9"] = slowReaders }

const (
	slowRate    = 64 << 10 // bytes a second that a slow client reads
	slowClients = 320
	fastClients = 4
	slowAnswer  = 4 << 20
	fastAnswer  = 1 << 20
	longestHold = 2.050 // seconds: the 2 s of the rule, and the slack on sockets
)

// reading is one answer as its client has read it.
type reading struct {
	id     string
	status int
	bytes  int
	gap    float64 // longest time in which the client read and got nothing, after the first bytes of the body
	gapAt  int     // bytes before the gap
	err    error
}

// slowReaders plays clients that read long answers slowly, beside clients that read at once.
func slowReaders(s *scene) (int, error) {
	var members []member
	var mu sync.Mutex
	for i := range 4 {
		u, err := s.newUpstream(fmt.Sprintf("s-%02d", i), 10*time.Millisecond)
		if err != nil {
			return couldNot, err
		}
		u.serve = func(u *upstream, c net.Conn, r *http.Request, a arrival) bool {
			n := slowAnswer
			if a.class == "status" {
				n = fastAnswer
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Pressure: util=0.30,latency_ms=20\r\nContent-Length: %d\r\n\r\n", n)
			part := make([]byte, 64<<10)
			for n > 0 {
				k, err := c.Write(part[:min(n, len(part))])
				if err != nil {
					return false
				}
				n -= k
			}
			return true
		}
		members = append(members, u.member("ljubljana", "in_service", 0))
	}
	d, err := s.newDiscovery(members)
	if err != nil {
		return couldNot, err
	}
	c := configuration{name: "n1", listen: freeAddress(), discovery: d.address(), sockets: 1024, memoryMB: 48,
		known:    update{Revision: 40, Complete: true, Members: members},
		settings: settings(classSettings("porocilo", "retryable", "all", 2500, 3000, 5000), classSettings("status", "retryable", "all", 2500, 3000, 5000))}
	b, err := s.launch(c, "n1", nil)
	if err != nil {
		return couldNot, err
	}
	if err := b.waitReady(c.listen, "/-/ready", 10*time.Second); err != nil {
		return couldNot, err
	}
	end := time.Now().Add(40 * time.Second)
	var readings []reading
	get := func(class string, rate int) reading {
		r := reading{id: newID()}
		sent := 0.0
		defer func() {
			s.log("client: %s %s: sent %.4f, status %d, %d bytes, longest wait for bytes %.3f s after %d bytes, error %v", class, r.id, sent, r.status, r.bytes, r.gap, r.gapAt, r.err)
			mu.Lock()
			readings = append(readings, r)
			mu.Unlock()
		}()
		var conn net.Conn
		if conn, r.err = net.DialTimeout("tcp4", c.listen, 2*time.Second); r.err != nil {
			return r
		}
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		fmt.Fprintf(conn, "GET /%s/x HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: 2.500\r\n\r\n", class, r.id, class)
		sent = s.now()
		conn.SetDeadline(end.Add(5 * time.Second))
		var response *http.Response
		if response, r.err = http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil); r.err != nil {
			return r
		}
		r.status = response.StatusCode
		part := make([]byte, 8<<10)
		for time.Now().Before(end) {
			before := time.Now()
			n, err := response.Body.Read(part)
			if gap := time.Since(before).Seconds(); gap > r.gap && r.bytes > 0 {
				r.gap, r.gapAt = gap, r.bytes
			}
			r.bytes += n
			if err == io.EOF {
				return r
			}
			if err != nil {
				r.err = err
				return r
			}
			if rate > 0 {
				time.Sleep(time.Duration(float64(n) / float64(rate) * float64(time.Second)))
			}
		}
		return r
	}
	rate := slowRate
	if !s.trouble {
		rate = 0
	}
	var all sync.WaitGroup
	for range slowClients {
		all.Go(func() { get("porocilo", rate) })
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	for range fastClients {
		all.Go(func() {
			for time.Now().Before(end.Add(-5 * time.Second)) {
				get("status", 0)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	all.Wait()
	statuses := map[int]int{}
	lost := 0
	worst := 0.0
	for _, r := range readings {
		statuses[r.status]++
		worst = max(worst, r.gap)
		if r.status == 200 && r.gap > longestHold {
			lost++
			s.log("BROKEN: the client of %s read and got nothing for %.3f s after %d bytes, while its upstream had more", r.id, r.gap, r.gapAt)
		}
	}
	s.say("requests by status: %v; longest wait for more of an answer %.3f s; answers held back for over 2.05 s: %d", statuses, worst, lost)
	if statuses[200] < slowClients {
		return couldNot, fmt.Errorf("too few requests were served")
	}
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
