package discovery

import (
	"errors"
	"fmt"
	"slices"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/timer"
)

// Parts of the streaming request.
const (
	streamTarget  = "/api/targets?follow=1"
	resumeQuery   = "&since=%d"
	requestFormat = "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n"
)

const statusOK = 200

// stream is one streaming request for the endpoint list. It owns its connection and its timer until close is called.
type stream struct {
	subscription *subscription
	loop         *loop.Loop
	fd           int
	openedAt     balance.Millis
	connected    bool
	closed       bool

	unsent   []byte // part of the request that is still to be sent
	decoder  *http1.ResponseDecoder
	splitter messageSplitter

	timeoutTimer      *timer.Timer
	timedOut          bool // no message was received in time, so a newer stream was opened in addition
	responsive        bool // an update or a keepalive was received
	acceptAnySnapshot bool // if the first update is a snapshot, it is applied even if it is implausible
}

// connectStream starts to connect to the discovery service.
func connectStream(s *subscription) (*stream, error) {
	l := s.options.Loop
	fd, err := l.Connect(s.options.Address)
	if err != nil {
		return nil, err
	}
	st := &stream{
		subscription:      s,
		loop:              l,
		fd:                fd,
		openedAt:          l.Now(),
		acceptAnySnapshot: s.acceptAnySnapshot,
	}
	st.decoder = http1.NewResponseDecoder(st.onBody)
	st.splitter = messageSplitter{onMessage: st.onMessage, onKeepalive: st.onKeepalive, account: s.options.Memory}
	if err := l.Add(fd, loop.Readable|loop.Writable|loop.HangUp, st); err != nil {
		l.Close(fd)
		return nil, err
	}
	return st, nil
}

// start prepares the request and starts the timeout timer. The request is sent once the connection is established.
func (st *stream) start() {
	s := st.subscription
	st.loop.Prioritize(st.fd) // updates are applied before the requests of the same turn are sent to upstreams
	target := streamTarget
	timeout := s.firstMessageTimeout
	if s.resumeRevision > 0 {
		target += fmt.Sprintf(resumeQuery, s.resumeRevision)
		timeout = messageTimeout
	}
	st.unsent = fmt.Appendf(nil, requestFormat, target, s.options.Address)
	st.restartTimeout(timeout)
}

// restartTimeout restarts the timeout timer with a timeout in milliseconds. The stream times out if no message restarts
// the timer before it expires.
func (st *stream) restartTimeout(timeout balance.Millis) {
	st.loop.Timers.Stop(st.timeoutTimer)
	st.timeoutTimer = st.loop.After(timeout, st.onTimeout)
}

func (st *stream) onTimeout() {
	st.timedOut = true
	st.subscription.onTimeout(st)
}

// close closes the connection, stops the timeout timer and removes the stream from its subscription.
func (st *stream) close() {
	s := st.subscription
	st.closed = true
	st.splitter.release()
	st.loop.Timers.Stop(st.timeoutTimer)
	st.loop.Close(st.fd)
	if i := slices.Index(s.streams, st); i >= 0 {
		s.streams = slices.Delete(s.streams, i, i+1)
	}
}

// answered reports whether the service answered the request properly before the stream failed with err: it sent a
// message, or a response without one that just ended, as that of a resumed stream does if no endpoint changed.
func (st *stream) answered(err error) bool {
	if st.responsive {
		return true
	}
	var protocolError *ProtocolError
	ended := !errors.As(err, &protocolError) || protocolError.Violation == StreamEnded
	return ended && st.decoder.Status() == statusOK
}

// Ready implements loop.Handler.
func (st *stream) Ready(events uint32) {
	if err := st.send(events); err != nil {
		st.subscription.onStreamFailed(st, err)
		return
	}
	for !st.closed {
		err := st.receive()
		if errors.Is(err, unix.EAGAIN) {
			return
		}
		if err != nil && !st.closed {
			st.subscription.onStreamFailed(st, err)
		}
	}
}

// send checks whether the connection is established, and sends the rest of the request.
func (st *stream) send(events uint32) error {
	if !st.connected {
		if err := st.loop.SocketError(st.fd); err != nil {
			return err
		}
		st.connected = events&loop.Writable != 0
	}
	if !st.connected || len(st.unsent) == 0 {
		return nil
	}
	n, err := st.loop.Write(st.fd, st.unsent)
	if err != nil {
		return err
	}
	st.unsent = st.unsent[n:]
	if len(st.unsent) == 0 {
		st.loop.Watch(st.fd, loop.Readable|loop.HangUp)
	}
	return nil
}

// receive reads once and decodes the bytes. It returns unix.EAGAIN if there are no bytes to read.
func (st *stream) receive() error {
	buffer := st.subscription.readBuffer
	n, err := st.loop.Read(st.fd, buffer)
	if err != nil {
		return err
	}
	if n == 0 {
		return &ProtocolError{Violation: StreamEnded}
	}
	return st.decode(buffer[:n])
}

// decode decodes a part of the response. During the call the splitter calls onMessage and onKeepalive.
func (st *stream) decode(p []byte) error {
	_, err := st.decoder.Feed(p)
	switch {
	case err != nil:
		return st.countDecodeError(err)
	case st.decoder.Status() > statusOK:
		return st.unexpectedStatus()
	case st.decoder.Complete():
		return &ProtocolError{Violation: StreamEnded}
	}
	return nil
}

// countDecodeError counts an error of the HTTP decoder or of a message, and returns it as a *ProtocolError.
func (st *stream) countDecodeError(err error) error {
	counters := st.subscription.counters
	var protocolError *ProtocolError
	switch {
	case !errors.As(err, &protocolError):
		counters.malformed.Inc()
		return &ProtocolError{Violation: MalformedResponse, Cause: err}
	case protocolError.implausible():
		counters.implausible.Inc()
	default:
		counters.malformed.Inc()
	}
	return err
}

func (st *stream) unexpectedStatus() error {
	return &ProtocolError{Violation: UnexpectedStatus, Detail: fmt.Sprint(st.decoder.Status())}
}

// onBody handles a part of the response body, which the HTTP decoder passes to it.
func (st *stream) onBody(p []byte) error {
	if st.decoder.Status() != statusOK {
		return st.unexpectedStatus()
	}
	return st.splitter.feed(p)
}

func (st *stream) onKeepalive() {
	st.subscription.counters.keepalives.Inc()
	st.subscription.onLiveness(st)
}

// onMessage handles a message, which the splitter passes to it.
func (st *stream) onMessage(message []byte) error {
	update, err := ParseUpdate(message)
	if err != nil {
		return err
	}
	return st.subscription.onUpdate(st, update)
}
