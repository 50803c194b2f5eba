// Package discovery follows the list of upstreams.
package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/counter"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/timer"
)

const (
	quietMost  = 5000.0  // ms without a byte: more than two of the empty lines that come every 2 s are missing
	retryFirst = 100.0   // ms before a new watch, doubled up to retryMost while it fails
	retryMost  = 2000.0  // the agent answers at once and at no cost
	lineMost   = 8 << 20 // bytes of one message: some tens of thousands of members
)

// Options is what a watch works with.
type Options struct {
	Loop     *loop.Loop
	Address  netip.AddrPort
	Revision uint64 // of the list that is known already, 0 for none: then the whole list is asked for
	Counters *counter.Set
	News     func(*Update) // takes what is told, in order
	Note     func(string)  // takes a line on trouble
}

// counts are those of all watches of one follower.
type counts struct {
	watches, updates, empty, malformed, broken, moves *counter.Counter
}

// watch follows the list at one address. While it is broken, what was told last stands.
type watch struct {
	Options
	*counts
	revision uint64
	answered bool // anything has been told since the start

	fd     int // -1 while there is no connection
	up     bool
	unsent []byte
	dec    *http1.ResponseDecoder
	line   []byte
	timer  *timer.Timer // quiet for too long, or time for a new watch
	delay  balance.Millis
	buf    []byte
}

// newWatch returns a watch that has not begun.
func newWatch(o Options, c *counts) *watch {
	return &watch{Options: o, counts: c, revision: o.Revision, fd: -1, delay: retryFirst, buf: make([]byte, 16<<10)}
}

// start begins to follow the list.
func (w *watch) start() {
	w.watches.Inc()
	fd, err := w.Loop.Connect(w.Address)
	if err == nil {
		if err = w.Loop.Add(fd, loop.In|loop.Out|loop.Hup, w); err != nil {
			w.Loop.Close(fd)
		}
	}
	if err != nil {
		w.again(err)
		return
	}
	w.Loop.First(fd) // what has been told is handled before anything is sent
	w.fd, w.up = fd, false
	w.dec = http1.NewResponseDecoder(w.take)
	w.line = w.line[:0]
	since := ""
	if w.revision > 0 {
		since = fmt.Sprintf("&since=%d", w.revision)
	}
	w.unsent = fmt.Appendf(nil, "GET /api/targets?follow=1%s HTTP/1.1\r\nHost: %s\r\n\r\n", since, w.Address)
	w.patience()
}

// patience starts the time anew after which silence means that the watch is broken.
func (w *watch) patience() {
	w.Loop.Timers.Stop(w.timer)
	w.timer = w.Loop.After(quietMost, func() { w.again(errors.New("silent")) })
}

// again ends the watch and begins a new one a little later.
func (w *watch) again(why error) {
	w.broken.Inc()
	if w.delay == retryFirst { // the first of a row
		w.Note(fmt.Sprintf("watch broken at %s: %v", w.Address, why))
	}
	w.stop()
	w.timer = w.Loop.After(w.delay, w.start)
	w.delay = min(retryMost, 2*w.delay)
}

// stop ends the watch.
func (w *watch) stop() {
	w.Loop.Timers.Stop(w.timer)
	if w.fd >= 0 {
		w.Loop.Close(w.fd)
		w.fd = -1
	}
}

// Ready handles what the kernel tells of the connection.
func (w *watch) Ready(events uint32) {
	if !w.up {
		if err := w.Loop.Failed(w.fd); err != nil {
			w.again(err)
			return
		}
		w.up = events&loop.Out != 0
	}
	if w.up && len(w.unsent) > 0 {
		n, err := w.Loop.Write(w.fd, w.unsent)
		if err != nil {
			w.again(err)
			return
		}
		if w.unsent = w.unsent[n:]; len(w.unsent) == 0 {
			w.Loop.Watch(w.fd, loop.In|loop.Hup)
		}
	}
	for fd := w.fd; w.fd == fd; {
		n, err := w.Loop.Read(fd, w.buf)
		switch {
		case err == unix.EAGAIN:
			return
		case err == nil && n == 0:
			err = errors.New("ended")
		case err == nil:
			err = w.decode(w.buf[:n])
		}
		if err != nil {
			w.again(err)
			return
		}
	}
}

func (w *watch) decode(p []byte) error {
	_, err := w.dec.Feed(p)
	switch {
	case err != nil:
		w.malformed.Inc()
		return err
	case w.dec.Status() > 200:
		return fmt.Errorf("status %d", w.dec.Status())
	case w.dec.Done():
		return errors.New("ended")
	}
	w.patience()
	return nil
}

// take gathers lines and tells what they hold.
func (w *watch) take(p []byte) error {
	if w.dec.Status() != 200 {
		return fmt.Errorf("status %d", w.dec.Status())
	}
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		if len(w.line)+len(p) > lineMost {
			return errors.New("message too large")
		}
		if i < 0 {
			w.line = append(w.line, p...)
			return nil
		}
		w.line = append(w.line, p[:i]...)
		p = p[i+1:]
		if err := w.tell(bytes.TrimSpace(w.line)); err != nil {
			return err
		}
		w.line = w.line[:0]
	}
	return nil
}

// tell hands on one line.
func (w *watch) tell(line []byte) error {
	if len(line) == 0 {
		w.empty.Inc()
		w.answered, w.delay = true, retryFirst
		return nil
	}
	u, err := Parse(line)
	if err != nil { // the list stays as it was
		return err
	}
	w.updates.Inc()
	w.answered, w.delay = true, retryFirst
	w.revision = u.Revision
	w.News(u)
	return nil
}
