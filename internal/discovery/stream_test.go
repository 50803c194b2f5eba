package discovery

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"salttrack/internal/epoll/epolltest"
)

// malformedMember is an update whose member has an unknown phase.
const malformedMember = `{"revision":50,"members":[{"id":"s","phase":"asleep"}]}` + "\n"

// brokenStreams lists the ways in which the service may end a stream or violate the protocol.
var brokenStreams = []struct {
	name   string
	breaks func(*serverStream)
	want   Violation
}{
	{"closed without a response", func(s *serverStream) { s.Close() }, StreamEnded},
	{"malformed update", func(s *serverStream) { s.sendHeader(); s.send(malformedMember) }, MalformedUpdate},
	{"malformed body", func(s *serverStream) { s.sendHeader(); s.send("nonsense\n") }, MalformedStream},
	{"malformed response", func(s *serverStream) { io.WriteString(s, "nonsense\r\n\r\n") }, MalformedResponse},
	{"status without a body", func(s *serverStream) { io.WriteString(s, "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n") }, UnexpectedStatus},
	{"status with a body", func(s *serverStream) { io.WriteString(s, "HTTP/1.1 503 No\r\nContent-Length: 3\r\n\r\n{}\n") }, UnexpectedStatus},
	{"body ends with the last chunk", func(s *serverStream) { s.sendHeader(); io.WriteString(s, "0\r\n\r\n") }, StreamEnded},
	{"body ends after its content length", func(s *serverStream) { io.WriteString(s, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n\n") }, StreamEnded},
}

// checkResumes breaks a stream and returns the next one. It checks the revision after which the next stream asks
// for updates.
func checkResumes(t *testing.T, service *service, stream *serverStream, breaks func(*serverStream), want string) *serverStream {
	t.Helper()
	breaks(stream)
	next := service.next()
	if next.since != want {
		t.Errorf("the stream asks for updates since %q, want %q", next.since, want)
	}
	return next
}

// After a stream broke, the next one asks for the updates after the last revision that was applied. After a stream
// timed out, the next one asks for a snapshot.
func TestStreamsResume(t *testing.T) {
	service := newService(t)
	f := watch(t, service.Address())
	// The first stream asks for a snapshot, which a working service sends at once. A stream that resumes after a
	// revision receives nothing for 2 s if no endpoint changes, so it could not be told from one that hangs.
	s := service.nextSnapshot()
	s.sendHeader()
	s.send("\n")
	first := delta(43, member("s-1", "in_service")) + "\n"
	s.send(first[:20]) // the first message is sent in two chunks; the second chunk also has another message
	s.send(first[20:] + "\n" + delta(44) + "\n")
	f.expect(43)
	f.expect(44)
	for _, tt := range brokenStreams {
		s = checkResumes(t, service, s, tt.breaks, "44")
	}
	s = checkResumes(t, service, s, func(s *serverStream) {
		s.sendHeader()
		f.AdvanceTimers(messageTimeout + 1)
	}, "")
	if n := f.CounterValue("watch_timeouts"); n == 0 {
		t.Error("the timeout is not counted")
	}
	s.sendHeader()
	s.send(snapshot(45, member("s-1", "in_service")) + "\n")
	f.expect(45)
	if len(f.updates) != 0 || len(f.log) == 0 {
		t.Errorf("%d more updates, %d log entries", len(f.updates), len(f.log))
	}
	f.Do(func() {
		if !f.watcher.Synced() {
			t.Error("Synced reports false after updates")
		}
	})
}

// Each failure of a stream is logged as a ProtocolError with its violation.
func TestViolationsAreLogged(t *testing.T) {
	for _, tt := range brokenStreams {
		t.Run(tt.name, func(t *testing.T) {
			service := newService(t)
			f := watch(t, service.Address())
			tt.breaks(service.nextSnapshot())
			err := f.loggedError()
			var protocolError *ProtocolError
			if !errors.As(err, &protocolError) || !errors.Is(err, tt.want) {
				t.Errorf("%v, want %v", err, tt.want)
			}
		})
	}
}

// If the discovery service is not running when the balancer starts, the watcher retries until it is.
func TestServiceStartsLater(t *testing.T) {
	l := epolltest.Listen(t)
	address := l.Address()
	l.Close()
	f := watch(t, address)
	<-f.log
	later, err := net.Listen("tcp", address.String())
	if err != nil {
		t.Skip("another program has taken the port in the meantime")
	}
	defer later.Close()
	l.TCPListener = later.(*net.TCPListener)
	s := (&service{l, t}).next()
	s.sendHeader()
	s.send(snapshot(1, member("s-1", "in_service")) + "\n")
	select {
	case <-f.updates:
	case <-time.After(epolltest.Timeout):
		t.Fatal("no update")
	}
}
