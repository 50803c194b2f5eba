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

// minimalSettings are settings with one balancer instance and one request class.
const minimalSettings = `{"me":0,"replicas_of_me":1,"zone":0,"stage":0,"discovery":"push","granularity_ms":5,"dcs":["here"],"tiers":["one"],
	"tenants":[],"invariants":{"start_capacity":0.3,"cold_ms":9000,"fall_multiple":3,"fall_ms":1500},
	"limits":{"max_attempts":6,"cancel":true,"second_copies":true,"retry_after":true,"max_retry_after_ms":2000,
	"connect_timeout_ms":250,"keepalive_ms":15000},"report":{"how":"none","columns":[]},
	"classes":[{"name":"read","on_time_ms":2000,"deadline_ms":5000,"worth":12,"idempotency":"retryable"}]}`

// runningBalancer is a balancer on its own event loop, with a listener that stands in for the discovery service.
type runningBalancer struct {
	*epolltest.Rig
	node      *Node
	listen    string // address for clients
	discovery *epolltest.Listener
}

// newBalancer returns a balancer that has not been started.
// Its cached endpoint list has the given endpoints, which are JSON objects separated by commas.
func newBalancer(t *testing.T, cachedEndpoints string) *runningBalancer {
	t.Helper()
	r := &runningBalancer{Rig: epolltest.Start(t), discovery: epolltest.Listen(t)}
	free := epolltest.Listen(t)
	r.listen = free.Address().String()
	free.Close()
	c, err := Parse(fmt.Appendf(nil, `{"name":"n","listen":%q,"discovery":%q,"seed":"1","known":{"revision":7,"complete":true,"members":[%s]},"settings":%s}`,
		r.listen, r.discovery.Address(), cachedEndpoints, minimalSettings), nil)
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	r.Do(func() { r.node = New(c, r.Loop, log.WithField("name", c.Name)) })
	return r
}

// start starts the balancer. The caller has to run it on the balancer's loop.
func (r *runningBalancer) start() {
	if err := r.node.Start(); err != nil {
		r.T.Error(err)
	}
}

// acceptWatch waits for the balancer's first request to discovery, and returns the connection and the request.
func (r *runningBalancer) acceptWatch() (net.Conn, *http.Request) {
	r.T.Helper()
	conn := r.discovery.Next()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		r.T.Fatal(err)
	}
	return conn, request
}

// sendSnapshot responds to a watch request with a snapshot of the endpoint list, and leaves the watch open.
// The endpoints are JSON objects separated by commas.
func sendSnapshot(watch io.Writer, endpoints string) {
	list := `{"revision":9,"complete":true,"members":[` + endpoints + "]}\n"
	fmt.Fprintf(watch, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list)
}

// endpoint returns the JSON object of endpoint s-1 in the endpoint list.
func endpoint(address, phase string) string {
	return fmt.Sprintf(`{"id":"s-1","host_port":%q,"locality":"here","cell":0,"phase":%q,"up_since_ms":0}`, address, phase)
}

// dialWhenListening waits until the balancer listens for clients, and connects to it.
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

// waitUntil waits until a condition is true.
func (r *runningBalancer) waitUntil(condition string, isTrue func() bool) {
	r.T.Helper()
	for end := time.Now().Add(epolltest.Timeout); !isTrue(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			r.T.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// close runs the remaining phases of a shutdown that has started, and closes the balancer.
func (r *runningBalancer) close() {
	for _, ms := range []float64{500, 150, 3000} { // one call for each phase, since the timer of one phase sets that of the next
		r.AdvanceTimers(ms)
	}
	r.Do(r.node.Close)
}
