package discovery

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"salttrack/balance"
	"salttrack/internal/epoll/epolltest"
)

// member returns a member at address 127.0.0.1:80 in the wire format.
func member(id, phase string) string {
	return memberAt(id, phase, "127.0.0.1:80", 1000)
}

func memberAt(id, phase, address string, startedAt int) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"b","flavor":"m2","cell":3,"phase":%q,"size":1.0,"up_since_ms":%d}`,
		id, address, phase, startedAt)
}

func snapshot(revision int, members ...string) string { return message(revision, "true", members) }

func delta(revision int, members ...string) string { return message(revision, "false", members) }

// message returns an update in the wire format.
func message(revision int, complete string, members []string) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%s,"members":[%s],"more":"ignored"}`, revision, complete, strings.Join(members, ","))
}

// addresses is an AddressTable that stores the addresses by upstream id.
type addresses map[balance.UpstreamID]netip.AddrPort

func (a addresses) SetAddress(id balance.UpstreamID, address netip.AddrPort, _ balance.Millis) {
	a[id] = address
}

func (a addresses) Remove(id balance.UpstreamID) { delete(a, id) }

// apply decodes a message, applies it to a registry and returns the resulting endpoint updates.
func apply(t *testing.T, r *Registry, a addresses, message string) []balance.Endpoint {
	t.Helper()
	u, err := ParseUpdate([]byte(message))
	if err != nil {
		t.Fatal(err)
	}
	return r.Apply(u, a).Endpoints
}

// service is a fake discovery service.
type service struct {
	*epolltest.Listener
	t *testing.T
}

func newService(t *testing.T) *service {
	t.Helper()
	return &service{epolltest.Listen(t), t}
}

// serverStream is the service's side of a stream.
type serverStream struct {
	*net.TCPConn
	t     *testing.T
	since string // the revision after which the request asks for updates, "" if it asks for a snapshot
}

// next waits for the next stream and reads its request.
func (s *service) next() *serverStream {
	s.t.Helper()
	c := s.Next()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || q.URL.Path != "/api/targets" || q.URL.Query().Get("follow") != "1" {
		s.t.Fatalf("request %+v, %v", q, err)
	}
	return &serverStream{c, s.t, q.URL.Query().Get("since")}
}

// nextSnapshot waits for the next stream. The test fails if the stream does not ask for a snapshot.
func (s *service) nextSnapshot() *serverStream {
	s.t.Helper()
	stream := s.next()
	if stream.since != "" {
		s.t.Errorf("the stream asks for updates since %s, want a snapshot", stream.since)
	}
	return stream
}

func (s *serverStream) sendHeader() {
	io.WriteString(s, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
}

// send sends text as one chunk of the body.
func (s *serverStream) send(text string) { fmt.Fprintf(s, "%x\r\n%s\r\n", len(text), text) }

// expectClosed checks that the watcher closes the stream.
func (s *serverStream) expectClosed(name string) {
	s.t.Helper()
	if n, err := s.Read(make([]byte, 1)); err != io.EOF {
		s.t.Errorf("%s is still open: %d, %v", name, n, err)
	}
}

// entries is a log hook that sends the log entries to a channel.
type entries chan *logrus.Entry

func (entries) Levels() []logrus.Level { return logrus.AllLevels }

func (e entries) Fire(entry *logrus.Entry) error {
	e <- entry
	return nil
}

// fixture has a watcher on an event loop, and the updates and log entries of the watcher.
type fixture struct {
	*epolltest.Rig
	watcher *Watcher
	updates chan *Update
	log     entries
}

// watch starts a watcher of the discovery service at an address. The watcher is stopped when the test ends.
func watch(t *testing.T, address netip.AddrPort) *fixture {
	t.Helper()
	f := &fixture{
		Rig:     epolltest.Start(t),
		updates: make(chan *Update, 100),
		log:     make(entries, 100),
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(f.log)
	f.watcher = NewWatcher(Options{
		Loop:     f.Loop,
		Address:  address,
		Counters: &f.Count,
		OnUpdate: func(u *Update) { f.updates <- u },
		Log:      log,
	})
	f.Do(f.watcher.Start)
	t.Cleanup(func() { f.Do(f.watcher.Stop) })
	return f
}

// expect waits for the next update and checks its revision.
func (f *fixture) expect(revision uint64) {
	f.T.Helper()
	select {
	case u := <-f.updates:
		if u.Revision != revision {
			f.T.Errorf("revision %d, want %d", u.Revision, revision)
		}
	case <-time.After(epolltest.Timeout):
		f.T.Fatalf("no update with revision %d", revision)
	}
}

// loggedError waits for a log entry and returns its error.
func (f *fixture) loggedError() error {
	f.T.Helper()
	select {
	case entry := <-f.log:
		err, _ := entry.Data[logrus.ErrorKey].(error)
		return err
	case <-time.After(epolltest.Timeout):
		f.T.Fatal("no failure is logged")
		return nil
	}
}
