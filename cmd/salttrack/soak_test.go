package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Flags of the soak test. The same seed draws the same requests and faults, whose order in time varies from run to run.
var (
	soakDuration = flag.Duration("soak.duration", 8*time.Second, "how long TestSoakOfLongRequests sends requests")
	soakSeed     = flag.Uint64("soak.seed", 1, "seed of TestSoakOfLongRequests")
)

const (
	soakUpstreams    = 4
	soakClients      = 24
	soakLongestBody  = 600 << 10              // bytes; the kernel's buffers of a client hold it
	soakLongResponse = 200 << 10              // bytes
	soakResponsePart = 8 << 10                // bytes of a long response that are sent at once
	soakHoldUp       = 140 * time.Millisecond // hold-ups of up to 150 ms have to be borne
	soakHoldUpPause  = 1500 * time.Millisecond
	soakLateResponse = 550 * time.Millisecond // a response may be half a second late; 50 ms for the sockets
)

// soak is a program with upstreams and clients that draw their faults at random.
type soak struct {
	*program
	end       time.Time
	responses atomic.Int64
}

// soakRandom returns the random numbers of one client or upstream.
func soakRandom(stream int) *rand.Rand { return rand.New(rand.NewPCG(*soakSeed, uint64(stream))) }

// soakUpstream returns the handler of an upstream that reads a body slowly, stops reading, rejects a request before its
// end, resets the connection, or sends a long response slowly.
func soakUpstream(stream int) http.HandlerFunc {
	var mu sync.Mutex
	random := soakRandom(stream)
	return func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		fault := random.IntN(10)
		pause := time.Duration(random.IntN(60)) * time.Millisecond
		mu.Unlock()
		switch fault {
		case 0:
			soakReject(w, pause)
			return
		case 1:
			soakReset(w, pause)
			return
		case 2:
			time.Sleep(3 * time.Second) // longer than any client waits
		}
		for n := int64(1); n > 0; time.Sleep(pause / 10) {
			n, _ = io.CopyN(io.Discard, r.Body, 64<<10)
		}
		time.Sleep(pause)
		text := "response to " + r.Header.Get("X-Txn")
		if fault == 3 {
			soakRespondSlowly(w, soakLongText(text), pause/4)
			return
		}
		fmt.Fprint(w, text)
	}
}

// soakLongText returns a long response that begins with a text.
func soakLongText(text string) string { return text + strings.Repeat("x", soakLongResponse-len(text)) }

// soakRespondSlowly sends a response of unknown length with a pause after each part.
func soakRespondSlowly(w http.ResponseWriter, text string, pause time.Duration) {
	for flush := http.NewResponseController(w).Flush; len(text) > 0; time.Sleep(pause) {
		part := text[:min(len(text), soakResponsePart)]
		text = text[len(part):]
		if _, err := io.WriteString(w, part); err != nil || flush() != nil {
			return
		}
	}
}

// soakReject rejects a request before its body was read, and closes the connection after a pause.
func soakReject(w http.ResponseWriter, pause time.Duration) {
	conn := hijack(w)
	defer conn.Close()
	time.Sleep(pause)
	io.WriteString(conn, rejection)
	time.Sleep(pause)
}

// soakReset resets the connection of a request after a pause, before the body was read.
func soakReset(w http.ResponseWriter, pause time.Duration) {
	conn := hijack(w)
	time.Sleep(pause)
	conn.SetLinger(0)
	conn.Close()
}

// soakRequest is a long request whose length, remaining time and fault were drawn.
type soakRequest struct {
	id        string
	length    int           // of the body in bytes
	remaining time.Duration // how long the client waits after its last byte
	leaveAt   time.Duration // when the client closes its connection; 0 if it waits for the response
	slowly    bool          // the client pauses in the middle of the body
}

func drawSoakRequest(random *rand.Rand, id string) soakRequest {
	q := soakRequest{
		id:        id,
		length:    10<<10 + random.IntN(soakLongestBody),
		remaining: time.Duration(200+random.IntN(1300)) * time.Millisecond,
	}
	switch random.IntN(6) {
	case 0:
		q.leaveAt = time.Duration(1+random.IntN(400)) * time.Millisecond
	case 1:
		q.slowly = true
	}
	return q
}

// write writes a request, and ignores errors: the program may respond and close before the end of the body.
func (q *soakRequest) write(conn net.Conn) {
	fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nX-Txn: %s\r\nX-Lane: pay\r\nX-Remaining: %.3f\r\nContent-Length: %d\r\n\r\n",
		q.id, q.remaining.Seconds(), q.length)
	body := streamedBody()[:q.length]
	if q.slowly {
		conn.Write(body[:q.length/2])
		time.Sleep(q.remaining)
		body = body[q.length/2:]
	}
	conn.Write(body)
}

// send sends a request on a connection of its own. Unless its client leaves, it has to get its own response in time.
func (s *soak) send(q *soakRequest) {
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Errorf("%s: %v", q.id, err)
		return
	}
	defer conn.Close()
	if q.leaveAt > 0 {
		time.AfterFunc(q.leaveAt, func() { conn.Close() })
	}
	q.write(conn)
	conn.SetReadDeadline(time.Now().Add(q.remaining + soakLateResponse))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if q.leaveAt > 0 {
		return
	}
	if err != nil {
		s.t.Errorf("%+v: no response in time: %v", q, err)
		return
	}
	s.responses.Add(1)
	conn.SetReadDeadline(time.Now().Add(waitTimeout)) // of a long response only the first bytes are timed
	body, err := io.ReadAll(response.Body)
	text := "response to " + q.id
	served := string(body) == text || string(body) == soakLongText(text)
	if err != nil || response.StatusCode == http.StatusOK && !served || response.StatusCode/100 == 4 {
		s.t.Errorf("%+v: status %d, body of %d bytes, %.80q, %v", q, response.StatusCode, len(body), body, err)
	}
}

// holdUp stops and continues the program until the end.
func (s *soak) holdUp() {
	for time.Now().Before(s.end) {
		time.Sleep(soakHoldUpPause)
		s.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(soakHoldUp)
		s.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// Guards against interactions of faults under long requests: upstreams that do not read, reject early, reset or send long responses
// slowly, clients that leave or send slowly, and hold-ups of the program. Each client that waits gets one response of its own in time, and nothing is left behind.
func TestSoakOfLongRequests(t *testing.T) {
	var upstreams []http.HandlerFunc
	for i := range soakUpstreams {
		upstreams = append(upstreams, soakUpstream(i))
	}
	e := newEnvironment(t, upstreams...)
	s := &soak{program: start(t, e.config(nil)), end: time.Now().Add(*soakDuration)}
	var running sync.WaitGroup
	running.Go(s.holdUp)
	for client := range soakClients {
		running.Go(func() {
			random := soakRandom(soakUpstreams + client)
			for n := 0; time.Now().Before(s.end); n++ {
				q := drawSoakRequest(random, fmt.Sprintf("soak-%d-%d", client, n))
				s.send(&q)
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			}
		})
	}
	running.Wait()
	s.waitFor("the end of all requests", func() bool {
		s.requestCounters()
		return s.latestCounters()("requests_in_progress") == 0
	})
	if c := s.latestCounters(); c("invariant_violations") != 0 || c("body_buffers_in_use") != 0 {
		t.Errorf("counters %v", s.counters())
	}
	s.terminate()
	t.Logf("%d responses; %s", s.responses.Load(), strings.Join(counterList.FindStringSubmatch(s.log.String())[1:], " "))
}
