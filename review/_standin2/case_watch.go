package main

import (
	"fmt"
	"time"
)

func init() { cases["10"] = watchEnds }

// drainGrace is the grace of the settings, and the 50 ms by which each limit is longer on sockets, in seconds.
const drainGrace = 0.250 + 0.050

// watchEnds plays a release in which six of ten upstreams are replaced within 7 s. Each time, the watch ends instead of telling.
func watchEnds(s *scene) (int, error) {
	const fleet, replaced = 10, 6
	const step = 900 * time.Millisecond
	var ups []*upstream
	var members []member
	for i := range fleet + replaced {
		u, err := s.newUpstream(fmt.Sprintf("s-%02d", i), 70*time.Millisecond)
		if err != nil {
			return couldNot, err
		}
		ups = append(ups, u)
		if i < fleet {
			members = append(members, u.member("ljubljana", "in_service", 0))
		}
	}
	d, err := s.newDiscovery(members)
	if err != nil {
		return couldNot, err
	}
	d.leaveOut = true
	c := configuration{name: "n1", listen: freeAddress(), discovery: d.address(), sockets: 512, memoryMB: 96,
		known:    update{Revision: 40, Complete: true, Members: members},
		settings: settings(classSettings("porocilo", "retryable", "all", 800, 2000, 5000))}
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
		cl.load(190, 12*time.Second, func(int) request {
			return request{id: newID(), class: "porocilo", method: "GET", remaining: time.Second}
		})
		close(done)
	}()
	time.Sleep(4 * time.Second)
	told := map[string]float64{}
	for i := range replaced {
		told[ups[i].id] = s.now()
		d.change(s.trouble, ups[i].member("ljubljana", "terminating", 0), ups[fleet+i].member("ljubljana", "in_service", time.Now().UnixMilli()))
		time.Sleep(step)
	}
	<-done
	cl.sending.Wait()
	late := 0
	for _, u := range ups[:replaced] {
		worst := 0.0
		for _, a := range u.got() {
			if after := a.firstByte - told[u.id]; after > drainGrace {
				late++
				worst = max(worst, after)
				s.log("BROKEN: %s got request %s %.0f ms after the agent had the news that it drains", u.id, a.id, 1000*after)
			}
		}
		s.say("%s: %d requests in all, the last late one %.0f ms after the news", u.id, len(u.got()), 1000*worst)
	}
	s.say("requests by status: %v; requests sent to a draining upstream after the grace of 300 ms: %d", cl.statuses(), late)
	if len(cl.answers) == 0 || cl.statuses()[200] < len(cl.answers)/2 {
		return couldNot, fmt.Errorf("too few requests were served")
	}
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
