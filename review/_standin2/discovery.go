package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is the agent of one balancer. It pushes changes at once, and sends an empty line each 2 s.
type discovery struct {
	scene    *scene
	listener net.Listener

	mu       sync.Mutex
	revision int
	members  []member          // all entries that are not gone
	changed  map[string]int    // revision of the last change of an entry
	gone     map[string]member // entries that are gone
	watches  map[*watch]bool
	leaveOut bool // a whole list leaves out upstreams that drain, and each call is answered with the whole list
	silent   bool // the agent accepts calls and says nothing, also on open watches
	calls    int
}

// watch is an open answer.
type watch struct {
	conn net.Conn
	mu   sync.Mutex
}

func (w *watch) send(text string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn.SetWriteDeadline(time.Now().Add(time.Second))
	_, err := fmt.Fprintf(w.conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

// finish ends the answer in the way of HTTP.
func (w *watch) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprint(w.conn, "0\r\n\r\n")
	w.conn.Close()
}

// newDiscovery starts an agent that has a list.
func (s *scene) newDiscovery(members []member) (*discovery, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{scene: s, listener: l, revision: 41, members: members, changed: map[string]int{}, gone: map[string]member{},
		watches: map[*watch]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.handle(c)
		}
	}()
	go d.keepalive()
	return d, nil
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// list returns the whole list.
func (d *discovery) list() update {
	u := update{Revision: d.revision, Complete: true, Members: []member{}}
	for _, m := range d.members {
		if m.Phase == "in_service" || !d.leaveOut {
			u.Members = append(u.Members, m)
		}
	}
	return u
}

// since returns what has changed after a revision.
func (d *discovery) since(revision int) update {
	u := update{Revision: d.revision, Members: []member{}}
	for _, m := range d.members {
		if d.changed[m.ID] > revision {
			u.Members = append(u.Members, m)
		}
	}
	for id, m := range d.gone {
		if d.changed[id] > revision {
			u.Members = append(u.Members, m)
		}
	}
	return u
}

func (d *discovery) handle(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	d.mu.Lock()
	d.calls++
	if d.silent {
		d.scene.log("discovery is called (%s) and says nothing", r.URL)
		w := &watch{conn: c}
		d.watches[w] = true
		d.mu.Unlock()
		in.ReadByte()
		d.forget(w)
		return
	}
	q := r.URL.Query()
	first := d.list()
	if after, err := strconv.Atoi(q.Get("since")); err == nil && !d.leaveOut {
		first = d.since(after)
	}
	text := encode(first)
	d.scene.log("discovery is called (%s) and answers revision %d, complete %t", r.URL, first.Revision, first.Complete)
	if q.Get("follow") == "" {
		d.mu.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return
	}
	w := &watch{conn: c}
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	if first.Complete || len(first.Members) > 0 {
		w.send(text)
	}
	d.watches[w] = true
	d.mu.Unlock()
	in.ReadByte() // until the balancer closes
	d.forget(w)
}

func encode(u update) string {
	text, err := json.Marshal(u)
	if err != nil {
		panic(err)
	}
	return string(text) + "\n"
}

func (d *discovery) forget(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.watches, w)
}

func (d *discovery) keepalive() {
	for range time.Tick(2 * time.Second) {
		d.mu.Lock()
		if !d.silent {
			for w := range d.watches {
				w.send("\n")
			}
		}
		d.mu.Unlock()
	}
}

// change changes entries and adds new ones. The open watches are told, or end instead.
func (d *discovery) change(endInstead bool, entries ...member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	u := update{Revision: d.revision, Members: entries}
	for _, e := range entries {
		d.set(e)
		d.scene.log("discovery has revision %d: %s is %s", d.revision, e.ID, e.Phase)
	}
	if d.silent {
		return
	}
	for w := range d.watches {
		if endInstead {
			d.scene.log("a watch ends instead of telling revision %d", d.revision)
			delete(d.watches, w)
			go w.finish()
		} else {
			w.send(encode(u))
		}
	}
}

func (d *discovery) set(e member) {
	d.changed[e.ID] = d.revision
	for i := range d.members {
		if d.members[i].ID == e.ID {
			if e.Phase == "terminated" {
				d.gone[e.ID] = e
				d.members = append(d.members[:i:i], d.members[i+1:]...)
				return
			}
			d.members[i] = e
			return
		}
	}
	if e.Phase != "terminated" {
		d.members = append(d.members, e)
	}
}

// setSilent starts or ends an outage. At its end, the agent sends what has changed on the watches that are still open.
func (d *discovery) setSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.scene.log("discovery silent: %t", on)
	if d.silent && !on {
		for w := range d.watches { // the balancer calls again
			delete(d.watches, w)
			w.conn.Close()
		}
	}
	d.silent = on
}
