package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = pipeline }

// pipeline plays clients that send several requests at once on a connection.
func pipeline(s *scene) (int, error) {
	const (
		atOnce    = 6
		bodyBytes = 8000
		patience  = time.Second
		service   = 350 * time.Millisecond
		rounds    = 6
		perRound  = 4
	)
	var ups []*upstream
	var members []member
	for i := range 6 {
		u, err := s.newUpstream(fmt.Sprintf("s-%02d", i), service)
		if err != nil {
			return couldNot, err
		}
		ups = append(ups, u)
		members = append(members, u.member("ljubljana", "in_service", 0))
	}
	d, err := s.newDiscovery(members)
	if err != nil {
		return couldNot, err
	}
	c := configuration{name: "n1", listen: freeAddress(), discovery: d.address(), sockets: 512, memoryMB: 96,
		known:    update{Revision: 40, Complete: true, Members: members},
		settings: settings(classSettings("oddaja", "fragile", "all", 1200, 3000, 5000))}
	b, err := s.launch(c, "n1", nil)
	if err != nil {
		return couldNot, err
	}
	if err := b.waitReady(c.listen, "/-/ready", 10*time.Second); err != nil {
		return couldNot, err
	}
	var mu sync.Mutex
	sent := map[string]float64{}
	statuses := map[int]int{}
	lost, closed := 0, 0
	body := strings.Repeat("x", bodyBytes)
	message := func(id string) string {
		return fmt.Sprintf("POST /oddaja/x HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: oddaja\r\nX-Remaining: %.3f\r\nContent-Length: %d\r\n\r\n%s", id, patience.Seconds(), len(body), body)
	}
	one := func() {
		conn, err := net.DialTimeout("tcp4", c.listen, 2*time.Second)
		if err != nil {
			s.log("client: %v", err)
			return
		}
		defer conn.Close()
		in := bufio.NewReader(conn)
		ids := make([]string, atOnce)
		for i := range ids {
			ids[i] = newID()
		}
		write := func(ids ...string) {
			var text strings.Builder
			for _, id := range ids {
				text.WriteString(message(id))
			}
			conn.Write([]byte(text.String()))
			mu.Lock()
			for _, id := range ids {
				sent[id] = s.now()
			}
			mu.Unlock()
		}
		if s.trouble {
			write(ids...)
		}
		ended := false
		for i, id := range ids {
			if !s.trouble {
				write(id)
			}
			mu.Lock()
			at := sent[id]
			mu.Unlock()
			conn.SetReadDeadline(s.start.Add(time.Duration((at + patience.Seconds() + 0.5) * float64(time.Second))))
			status := 0
			var response *http.Response
			if response, err = http.ReadResponse(in, nil); err == nil {
				if _, err = io.Copy(io.Discard, response.Body); err == nil {
					status = response.StatusCode
				}
			}
			timeout, isNet := err.(net.Error)
			mu.Lock()
			statuses[status]++
			switch {
			case status != 0:
			case isNet && timeout.Timeout():
				lost++
				s.log("BROKEN: request %d of its connection, %s, has no answer and no close %.3f s after it was sent, with %.3f s of time", i+1, id, s.now()-at, patience.Seconds())
			default:
				closed++
			}
			mu.Unlock()
			s.log("client: request %d of its connection, %s: sent %.4f, ended %.4f, status %d, error %v", i+1, id, at, s.now(), status, err)
			ended = ended || status != 0 && response.Close
			if ended && i+1 < len(ids) {
				s.log("client: the connection ends by its answer, %d requests go elsewhere", len(ids)-i-1)
				return
			}
		}
	}
	for range rounds {
		var all sync.WaitGroup
		for range perRound {
			all.Go(one)
		}
		all.Wait()
	}
	time.Sleep(500 * time.Millisecond)
	tooLong := 0
	for _, u := range ups {
		for _, a := range u.got() {
			var told float64
			fmt.Sscan(a.remaining, &told)
			left := sent[a.id] + patience.Seconds() - a.firstByte
			if told > left+0.150 {
				tooLong++
				s.log("BROKEN: %s is told %.3f s for request %s, its client has %.3f s left", u.id, told, a.id, left)
			}
		}
	}
	s.say("requests by status: %v; closed: %d; without an answer 0.5 s after their time: %d; attempts that tell their upstream more than the client has left and 0.15 s: %d", statuses, closed, lost, tooLong)
	if statuses[200] == 0 {
		return couldNot, fmt.Errorf("no request was served")
	}
	if lost+tooLong > 0 {
		return broken, nil
	}
	return held, nil
}
