package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Constants of the earliest time at which the platform sends SIGKILL after SIGTERM.
// That time is the longest deadline, but at most maxCountedDeadline, plus killGracePeriod.
const (
	killGracePeriod    = 700 * time.Millisecond
	maxCountedDeadline = 3 * time.Second
)

// hangDuration is the time before SIGKILL in which upstreams do not respond to a third of the requests.
// If it were longer, the balancer would stop sending requests to them.
const hangDuration = 600 * time.Millisecond

// lateClient is a client that connects before SIGTERM, and sends its request or the rest of it after SIGTERM.
type lateClient struct {
	id        string
	conn      net.Conn
	rest      string        // part of the request that is sent after SIGTERM
	ended     chan struct{} // closed when the response was received or the connection has ended
	responded bool          // whether a complete response was received
	completed bool          // whether the last byte of the request was written
}

// newLateClient connects and sends the first bytes of a request.
func newLateClient(t *testing.T, address, id, request string, firstBytes int) *lateClient {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c := &lateClient{id: id, conn: conn, rest: request[firstBytes:], ended: make(chan struct{})}
	if _, err := io.WriteString(conn, request[:firstBytes]); err != nil {
		t.Fatal(err)
	}
	go c.readResponse()
	return c
}

// readResponse reads until the response is complete or the connection ends.
func (c *lateClient) readResponse() {
	defer close(c.ended)
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	c.responded = err == nil
}

// finish sends the rest of the request, unless the connection has already ended, and waits for the response or the end of the connection.
func (c *lateClient) finish() {
	defer c.conn.Close()
	select {
	case <-c.ended:
		return
	default:
	}
	if _, err := io.WriteString(c.conn, c.rest); err == nil {
		c.completed = true
	}
	<-c.ended
}

// forwardedRequests is the set of ids of the requests that upstreams have received.
type forwardedRequests struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (f *forwardedRequests) add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids[id] = true
}

func (f *forwardedRequests) has(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ids[id]
}

// killCase is a case of TestRespondsBeforeEarliestKill.
type killCase struct {
	longestDeadline time.Duration
	reload          bool          // whether the configuration is reloaded together with SIGTERM
	stopped         time.Duration // time for which the process gets no CPU when SIGTERM arrives
}

// killAfter returns the time from SIGTERM to the earliest SIGKILL.
func (k killCase) killAfter() time.Duration {
	return min(k.longestDeadline, maxCountedDeadline) + killGracePeriod
}

// killTest is one run of a killCase.
type killTest struct {
	killCase
	*program
	forwarded forwardedRequests
	hanging   atomic.Bool // whether upstreams no longer respond to a third of the requests
	clients   []*lateClient
	killed    bool // whether the program was killed, since it had not exited in time
}

// serve is the handler of the upstreams.
func (k *killTest) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Txn")
	k.forwarded.add(id)
	if k.hanging.Load() && strings.HasSuffix(id, "-hangs") {
		<-r.Context().Done()
		return
	}
	echo(w, r)
}

// Guards against accepted requests that are lost at SIGKILL, as in the incident of 2026-12-02.
// Clients that connected before SIGTERM send their request, or the rest of it,
// at any time up to the earliest SIGKILL, while upstreams stop responding.
// Every accepted request gets its response, and the process exits before SIGKILL.
func TestRespondsBeforeEarliestKill(t *testing.T) {
	for _, tt := range []killCase{
		{longestDeadline: 20 * time.Millisecond},
		{longestDeadline: 200 * time.Millisecond},
		{longestDeadline: 755 * time.Millisecond},
		{longestDeadline: 755 * time.Millisecond, reload: true},
		{longestDeadline: 1250 * time.Millisecond},
		{longestDeadline: 1250 * time.Millisecond, reload: true, stopped: 140 * time.Millisecond},
		{longestDeadline: 2500 * time.Millisecond, stopped: 140 * time.Millisecond},
		{longestDeadline: 5 * time.Second},
	} {
		t.Run(fmt.Sprintf("%v reload %v stopped %v", tt.longestDeadline, tt.reload, tt.stopped), func(t *testing.T) {
			t.Parallel()
			k := &killTest{killCase: tt, forwarded: forwardedRequests{ids: map[string]bool{}}}
			k.start(t)
			k.connect(t)
			k.terminateAndKill(t)
			k.check(t)
		})
	}
}

// start starts the program. One class has the longest deadline, and the other one has half of it.
func (k *killTest) start(t *testing.T) {
	e := newEnvironment(t, k.serve, k.serve)
	k.program = start(t, e.config(func(config map[string]any) {
		for i, divisor := range []float64{2, 1} {
			class := classOf(settingsOf(config), i)
			deadline := float64(k.longestDeadline.Milliseconds()) / divisor
			class["deadline_ms"], class["on_time_ms"] = deadline, deadline
		}
	}))
}

// connect opens the connections of the clients and waits until the balancer has accepted them.
// The balancer accepts connections in sequence, so it has accepted them once it responds on a later connection.
func (k *killTest) connect(t *testing.T) {
	const clients = 200
	for i := range clients {
		id := fmt.Sprintf("late-%d%s", i, [...]string{"", "", "-hangs"}[i%3])
		remaining := k.longestDeadline.Seconds() / float64(1+i%2)
		request := fmt.Sprintf("GET /read/x HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: read\r\nX-Remaining: %.3f\r\n\r\n", id, remaining)
		firstBytes := i % 4 / 2 * 30
		k.clients = append(k.clients, newLateClient(t, k.address, id, request, firstBytes))
	}
	if status, _ := k.do("none", "accepted"); status != 400 {
		t.Fatalf("status %d", status)
	}
}

// terminateAndKill sends SIGTERM, and finishes the requests at regular intervals up to the earliest time of SIGKILL.
// If the program has not exited by then, it is killed.
func (k *killTest) terminateAndKill(t *testing.T) {
	if k.stopped > 0 {
		k.cmd.Process.Signal(syscall.SIGSTOP)
	}
	if k.reload {
		k.cmd.Process.Signal(syscall.SIGHUP)
	}
	k.cmd.Process.Signal(syscall.SIGTERM)
	signalledAt := time.Now()
	time.AfterFunc(k.killAfter()-hangDuration, func() { k.hanging.Store(true) })
	if k.stopped > 0 {
		time.AfterFunc(k.stopped, func() { k.cmd.Process.Signal(syscall.SIGCONT) })
	}
	var finished sync.WaitGroup
	for i, c := range k.clients {
		finished.Go(func() {
			time.Sleep(time.Until(signalledAt.Add(k.killAfter() * time.Duration(i) / time.Duration(len(k.clients)))))
			c.finish()
		})
	}
	defer finished.Wait()
	select {
	case err := <-k.exited:
		if err != nil {
			t.Errorf("the program exited with %v", err)
		}
	case <-time.After(time.Until(signalledAt.Add(k.killAfter()))):
		k.cmd.Process.Kill()
		k.killed = true
		t.Error("the program is still running at the time of SIGKILL")
	}
}

// check checks that no accepted request was lost.
// If the program exited by itself, a complete request without a response that no upstream received was not accepted:
// it was sent while the balancer closed its connection.
func (k *killTest) check(t *testing.T) {
	var lost []string
	for _, c := range k.clients {
		if c.completed && !c.responded && (k.killed || k.forwarded.has(c.id)) {
			lost = append(lost, c.id)
		}
	}
	if len(lost) > 0 {
		t.Errorf("%d of %d requests have no response: %v; log:\n%s", len(lost), len(k.clients), lost, k.log)
	}
}
