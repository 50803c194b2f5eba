package control

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

	"salttrack/internal/epoll"
	"salttrack/internal/epoll/epolltest"
)

// orders knows two upstreams, one of them by a name that has to be encoded.
type orders struct{ done chan string }

func (o *orders) Ready() bool { return true }
func (o *orders) Order(id string, out bool) bool {
	if id != "s-1" && id != "a/b.c %" {
		return false
	}
	o.done <- map[bool]string{true: "offline ", false: "online "}[out] + id
	return true
}

func open(t *testing.T, room int) (*epolltest.Rig, *orders, netip.AddrPort) {
	t.Helper()
	r, o := epolltest.Start(t), &orders{make(chan string, 1000)}
	var d *Door
	var at netip.AddrPort
	r.Do(func() {
		d = New(Options{Loop: r.Loop, Room: room, Counters: &r.Count, Orders: o})
		if err := d.Listen(netip.MustParseAddrPort("127.0.0.1:0")); err != nil {
			t.Error(err)
		}
		at = epoll.Local(d.fd)
	})
	t.Cleanup(func() {
		r.Do(d.Close)
		r.Do(func() {
			if d.Open() != 0 {
				t.Errorf("%d descriptors are left", d.Open())
			}
		})
	})
	return r, o, at
}

// ask makes one call in pieces and returns its status and body.
func ask(t *testing.T, at netip.AddrPort, pieces ...string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(epolltest.Patience))
	for _, p := range pieces {
		io.WriteString(c, p)
	}
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%q: %v", pieces, err)
		return 0, ""
	}
	body, _ := io.ReadAll(a.Body)
	if rest, _ := io.ReadAll(c); len(rest) > 0 || !a.Close {
		t.Errorf("%q: the connection goes on", pieces)
	}
	return a.StatusCode, string(body)
}

func TestCalls(t *testing.T) {
	_, o, at := open(t, 4)
	for _, tt := range []struct {
		call string
		want int
		done string
	}{
		{"GET /control/ready", 200, ""},
		{"GET /control/ready?x=1", 200, ""},
		{"POST /control/ready", 405, ""},
		{"POST /control/upstreams/s-1/offline", 200, "offline s-1"},
		{"POST /control/upstreams/s%2D1/online", 200, "online s-1"},
		{"POST /control/upstreams/a%2Fb%2ec%20%25/offline", 200, "offline a/b.c %"},
		{"GET /control/upstreams/s-1/offline", 405, ""},
		{"POST /control/upstreams/s-2/offline", 404, ""},
		{"POST /control/upstreams/s-2/online", 404, ""},
		{"POST /control/upstreams//online", 400, ""},
		{"POST /control/upstreams/%zz/online", 400, ""},
		{"POST /control/upstreams/s-1/away", 404, ""},
		{"POST /control/upstreams/a/b/offline", 404, ""},
		{"GET /", 404, ""},
		{"GET nowhere", 400, ""},
	} {
		status, body := ask(t, at, tt.call+" HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n", "abc")
		done := ""
		if len(o.done) > 0 {
			done = <-o.done
		}
		if status != tt.want || done != tt.done || strings.Contains(body, `"error"`) != (tt.want >= 300) {
			t.Errorf("%s: %d %q, done %v", tt.call, status, body, done)
		}
	}
	whole := "POST /control/upstreams/s-1/offline HTTP/1.1\r\n\r\n"
	for i := range whole {
		if status, _ := ask(t, at, whole[:i], whole[i:]); status != 200 {
			t.Errorf("cut at %d: %d", i, status)
		}
	}
}

// Hundreds of callers hold half a call: each whole one is answered all the same, the door holds no more descriptors
// than were set aside, and a half call is answered in the end.
func TestHalfCalls(t *testing.T) {
	const room = 8
	r, _, at := open(t, room)
	half := func(n int, text string) (all []net.Conn) {
		for range n {
			c, err := net.Dial("tcp", at.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			fmt.Fprint(c, text)
			all = append(all, c)
		}
		return all
	}
	for range 6 {
		half(40, "POST /control/upstreams/s-1/offl")
		if status, _ := ask(t, at, "GET /control/ready HTTP/1.1\r\n\r\n"); status != 200 {
			t.Errorf("status %d", status)
		}
	}
	if n := r.Counted("control_shed"); n < 200 {
		t.Errorf("%d calls made room", n)
	}
	last := half(1, "")[0]
	r.WaitFor("control_accepted", 6*41+1)
	for range room { // a pass ends where it meets a timer that it has set
		r.Pass(callMost + 1)
	}
	last.SetDeadline(time.Now().Add(epolltest.Patience))
	if a, err := http.ReadResponse(bufio.NewReader(last), nil); err != nil || a.StatusCode != 408 {
		t.Errorf("a half call is answered %v, %v", a, err)
	}
}
