package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"salttrack/internal/epoll/epolltest"
)

// minimalSettings are the settings of a balancer of one instance and one class.
const minimalSettings = `{"me":0,"replicas_of_me":1,"zone":0,"stage":0,"discovery":"push","granularity_ms":5,"dcs":["here"],"tiers":["one"],
	"tenants":[],"invariants":{"start_capacity":0.3,"cold_ms":9000,"fall_multiple":3,"fall_ms":1500},
	"limits":{"max_attempts":6,"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after_ms":2000,
	"connect_timeout_ms":250,"keepalive_ms":15000},"report":{"how":"none","columns":[]},
	"classes":[{"name":"read","on_time_ms":2000,"deadline_ms":5000,"worth":12,"idempotency":"retryable"}]}`

// runningBalancer is a balancer on a loop of its own, and the test's end of its discovery.
type runningBalancer struct {
	*epolltest.Rig
	node   *Node
	listen string // its address for clients
	agent  *epolltest.Listener
}

// newBalancer returns a balancer that has not been started, and that knows endpoints, given as JSON objects.
func newBalancer(t *testing.T, knownEndpoints string) *runningBalancer {
	t.Helper()
	r := &runningBalancer{Rig: epolltest.Start(t), agent: epolltest.Listen(t)}
	free := epolltest.Listen(t)
	r.listen = free.Address().String()
	free.Close()
	c, err := Parse(fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"1","known":{"revision":7,"complete":true,"members":[%s]},"settings":%s}`,
		r.listen, r.agent.Address(), knownEndpoints, minimalSettings), nil)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.Do(func() { r.node = New(c, r.Loop, log.WithField("name", c.Name)) })
	return r
}

// start starts the balancer. It is called on its loop.
func (r *runningBalancer) start() {
	if err := r.node.Start(); err != nil {
		r.T.Error(err)
	}
}

// acceptWatch waits for the balancer's first call to discovery, and returns its connection and its request.
func (r *runningBalancer) acceptWatch() (net.Conn, *http.Request) {
	r.T.Helper()
	conn := r.agent.Next()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		r.T.Fatal(err)
	}
	return conn, request
}

// sendSnapshot answers the call to discovery with a complete endpoint list, given as JSON objects, and leaves the watch open.
func sendSnapshot(watch io.Writer, endpoints string) {
	list := `{"revision":9,"complete":true,"members":[` + endpoints + "]}\n"
	fmt.Fprintf(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
}

// endpoint is an endpoint of the list as discovery has it.
func endpoint(address, phase string) string {
	return fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"here","cell":0,"phase":%q,"up_since_ms":0}`, address, phase)
}

// dialWhenListening connects to the balancer as soon as it listens.
func (r *runningBalancer) dialWhenListening() net.Conn {
	r.T.Helper()
	for end := time.Now().Add(epolltest.Timeout); ; time.Sleep(time.Millisecond) {
		conn, err := net.Dial("tcp", r.listen)
		if err == nil {
			r.T.Cleanup(func() { conn.Close() })
			conn.SetDeadline(time.Now().Add(epolltest.Timeout))
			return conn
		}
		if time.Now().After(end) {
			r.T.Fatal(err)
		}
	}
}

// until waits for a condition to hold.
func (r *runningBalancer) until(what string, holds func() bool) {
	r.T.Helper()
	for end := time.Now().Add(epolltest.Timeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.T.Fatalf("not in time: %s", what)
		}
	}
}

// close ends a balancer whose shutdown has begun.
func (r *runningBalancer) close() {
	for _, ms := range []float64{500, 150, 3000} { // the phases of the shutdown, each begun by a timer that the one before has set
		r.AdvanceTimers(ms)
	}
	r.Do(r.node.Close)
}
