package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["7"] = crowd }

// crowd plays a crowd of idle clients while usual clients send each request on a new connection.
func crowd(s *scene) (int, error) {
	const crowdSize = 2000
	var members []member
	for i := range 4 {
		u, err := s.newUpstream(fmt.Sprintf("s-%02d", i), 20*time.Millisecond)
		if err != nil {
			return couldNot, err
		}
		members = append(members, u.member("ljubljana", "in_service", 0))
	}
	d, err := s.newDiscovery(members)
	if err != nil {
		return couldNot, err
	}
	c := configuration{name: "n1", listen: freeAddress(), discovery: d.address(), sockets: 256, memoryMB: 96,
		known:    update{Revision: 40, Complete: true, Members: members},
		settings: settings(classSettings("porocilo", "retryable", "all", 800, 2000, 5000))}
	b, err := s.launch(c, "n1", nil)
	if err != nil {
		return couldNot, err
	}
	if err := b.waitReady(c.listen, "/-/ready", 10*time.Second); err != nil {
		return couldNot, err
	}
	cl := &clients{scene: s, address: c.listen, fresh: true, patience: 500 * time.Millisecond}
	done := make(chan struct{})
	go func() {
		cl.load(20, 20*time.Second, func(int) request {
			return request{id: newID(), class: "porocilo", method: "GET", remaining: time.Second}
		})
		close(done)
	}()
	time.Sleep(3 * time.Second)
	var idle sync.WaitGroup
	if s.trouble {
		s.log("a crowd of %d clients connects and idles", crowdSize)
		for range crowdSize {
			conn, err := net.DialTimeout("tcp4", c.listen, 2*time.Second)
			if err != nil {
				return couldNot, err
			}
			idle.Add(1)
			go func() { // until the balancer closes the connection
				defer idle.Done()
				conn.SetDeadline(time.Now().Add(30 * time.Second))
				conn.Read(make([]byte, 1))
				conn.Close()
			}()
		}
		s.log("the crowd is connected")
	}
	<-done
	cl.sending.Wait()
	lost, closed := 0, 0
	for _, a := range cl.answers {
		if a.status != 0 {
			continue
		}
		if ne, ok := a.err.(net.Error); ok && ne.Timeout() {
			lost++
			s.log("BROKEN: request %s was written whole at %.4f and had no answer and no close at %.4f", a.id, a.sent, a.ended)
		} else {
			closed++
		}
	}
	s.say("requests by status: %v; closed without an answer: %d; without an answer or a close 0.5 s after their time: %d", cl.statuses(), closed, lost)
	if lost > 0 {
		return broken, nil
	}
	if cl.statuses()[200] < 100 {
		return couldNot, fmt.Errorf("too few requests were served")
	}
	return held, nil
}
