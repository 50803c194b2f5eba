package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// streamedBodySize is the length of a streamed body in bytes. It equals the memory limit of the program in TestStreamedBodies.
const streamedBodySize = 32 << 20

// streamedBody returns the body of the streamed requests and responses.
// Its checksum changes if any byte is lost, repeated or moved.
var streamedBody = sync.OnceValue(func() []byte {
	p := make([]byte, streamedBodySize)
	for i := range p {
		p[i] = byte(i>>16) ^ byte(i>>8)*31 ^ byte(i)
	}
	return p
})

func checksum(p []byte) uint64 {
	h := fnv.New64a()
	h.Write(p)
	return h.Sum64()
}

// streamedBodyTest is a program that streams request and response bodies. The receivers of the bodies pause until resume is set.
type streamedBodyTest struct {
	*program
	resume atomic.Bool
}

func (s *streamedBodyTest) pause() {
	for !s.resume.Load() {
		time.Sleep(time.Millisecond)
	}
}

// serve is the handler of the upstreams.
// It responds to a GET with a streamed body, and to a POST with the length and checksum of the body that it received.
func (s *streamedBodyTest) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == "GET" {
		if strings.HasSuffix(r.URL.Path, "/sized") {
			w.Header().Set("Content-Length", strconv.Itoa(streamedBodySize))
		}
		w.Write(streamedBody())
		return
	}
	begin := make([]byte, 1000)
	n, _ := io.ReadFull(r.Body, begin)
	s.pause()
	rest, err := io.ReadAll(r.Body)
	if err == nil {
		fmt.Fprint(w, n+len(rest), " ", checksum(append(begin[:n], rest...)))
	}
}

// receiveStreamedResponse requests a streamed response, with a Content-Length or chunked, and checks its body.
// It calls beforeBody once the response has started.
func (s *streamedBodyTest) receiveStreamedResponse(n int, beforeBody func()) {
	response, err := s.send(request{class: "read", path: []string{"sized", "chunked"}[n%2], id: fmt.Sprint("response", n), remaining: "5"})
	beforeBody()
	if err != nil || response.StatusCode != 200 || (response.ContentLength == streamedBodySize) != (n%2 == 0) {
		s.t.Errorf("streamed response %d: %v %v", n, response, err)
		return
	}
	s.pause()
	if body, err := io.ReadAll(response.Body); err != nil || checksum(body) != checksum(streamedBody()) {
		s.t.Errorf("streamed response %d: %d bytes, %v", n, len(body), err)
	}
}

// sendStreamedRequest sends a streamed request, with a Content-Length or chunked, and checks the length and checksum that the upstream received.
func (s *streamedBodyTest) sendStreamedRequest(n int) {
	var body io.Reader = bytes.NewReader(streamedBody())
	if n%2 == 0 {
		body = io.MultiReader(body) // hides the length from package http, which then sends the body chunked
	}
	response, err := s.send(request{class: "pay", path: "x", id: fmt.Sprint("request", n), remaining: "60", body: body})
	if err != nil {
		s.t.Errorf("streamed request %d: %v", n, err)
		return
	}
	want := fmt.Sprint(streamedBodySize, " ", checksum(streamedBody()))
	if text, err := io.ReadAll(response.Body); err != nil || response.StatusCode != 200 || string(text) != want {
		s.t.Errorf("streamed request %d: %d %q %v", n, response.StatusCode, text, err)
	}
}

// Ten bodies of 32 MB are streamed in both directions at once, ten times the memory limit of 32 MB, while the receivers pause.
// All bodies arrive completely, and the memory in use does not grow with them.
func TestStreamedBodies(t *testing.T) {
	const responses, requests = 6, 4
	s := &streamedBodyTest{}
	e := newEnvironment(t, s.serve, s.serve)
	s.program = start(t, e.config(func(config map[string]any) {
		config["limits"] = map[string]any{"cores": 1.0, "memory_mb": 32, "sockets": 256}
		pay := classOf(settingsOf(config), 1)
		pay["on_time_ms"], pay["deadline_ms"] = 60000, 60000 // long, since the fake upstreams may be slow
	}))
	var streams, begun sync.WaitGroup
	begun.Add(responses)
	for n := range responses {
		streams.Go(func() { s.receiveStreamedResponse(n, begun.Done) })
	}
	for n := range requests {
		streams.Go(func() { s.sendStreamedRequest(n) })
	}
	begun.Wait()
	s.resume.Store(true)
	streams.Wait()
	peakMB := s.usage().peakMB
	t.Logf("peak memory %.1f MB with 320 MB of bodies", peakMB)
	if peakMB > 105 { // above the memory limit, since the race detector multiplies the memory in use
		t.Errorf("peak memory %.1f MB, at most 105 MB allowed", peakMB)
	}
	s.terminate()
	if c := s.latestCounters(); c("invariant_violations") != 0 || c("body_buffers_in_use") != 0 || c("upstream_responses_streamed") != responses || c("client_requests_streamed") != requests {
		t.Errorf("counters %v", s.counters())
	}
}

// abortingUpstream is an upstream that aborts its responses to GET requests after 1 MB.
// It counts the POST requests whose body it has received completely.
type abortingUpstream struct{ completeBodies atomic.Int64 }

func (a *abortingUpstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == "POST" {
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			a.completeBodies.Add(1)
		}
		return
	}
	if strings.HasSuffix(r.URL.Path, "/sized") {
		w.Header().Set("Content-Length", strconv.Itoa(streamedBodySize))
	}
	w.Write(streamedBody()[:1<<20])
	panic(http.ErrAbortHandler)
}

// If the upstream aborts a streamed response, the client gets an error instead of a response that looks complete.
func TestIncompleteResponse(t *testing.T) {
	upstream := &abortingUpstream{}
	e := newEnvironment(t, upstream.serve)
	p := start(t, e.config(nil))
	for _, path := range []string{"sized", "chunked"} {
		response, err := p.send(request{class: "read", path: path, id: path, remaining: "5"})
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(response.Body); err == nil {
			t.Errorf("%s: the response looks complete, with %d bytes", path, len(body))
		}
		response.Body.Close()
	}
	p.terminate()
	p.expectNothingInFlight()
}

// expectNothingInFlight checks that a program has exited without requests in progress, body buffers in use or violated invariants.
func (p *program) expectNothingInFlight() {
	p.t.Helper()
	if c := p.latestCounters(); c("invariant_violations") != 0 || c("body_buffers_in_use") != 0 || c("requests_in_progress") != 0 {
		p.t.Errorf("counters %v", p.counters())
	}
}

// If the client aborts a streamed request, the upstream gets an error instead of a request that looks complete.
// The same holds if a chunk of the request is malformed, and then the client gets the status 400.
func TestIncompleteRequest(t *testing.T) {
	upstream := &abortingUpstream{}
	e := newEnvironment(t, upstream.serve)
	p := start(t, e.config(nil))
	for i, tt := range []struct {
		framing, chunkHeader string
		malformed            bool
	}{
		{framing: fmt.Sprint("Content-Length: ", streamedBodySize)},
		{framing: "Transfer-Encoding: chunked", chunkHeader: "100000\r\n"},
		{framing: "Transfer-Encoding: chunked", chunkHeader: "80000\r\n", malformed: true},
	} {
		conn := p.dial()
		reader, before := bufio.NewReader(conn), e.upstreams[0].requests.Load()
		expectStatus := func(want int) {
			if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != want {
				t.Errorf("%s: %v %v, want %d", tt.framing, response, err, want)
			}
		}
		fmt.Fprintf(conn, "POST /pay/x HTTP/1.1\r\nX-Txn: cut%d\r\nX-Lane: pay\r\nX-Remaining: 5\r\nExpect: 100-continue\r\n%s\r\n\r\n", i, tt.framing)
		expectStatus(100)
		fmt.Fprintf(conn, "%s%s", tt.chunkHeader, streamedBody()[:1<<19])
		p.waitFor("the request at the upstream", func() bool { return e.upstreams[0].requests.Load() > before })
		if tt.malformed {
			fmt.Fprint(conn, "\r\nzz\r\n")
			expectStatus(400)
		}
		conn.Close()
	}
	p.terminate()
	if n := upstream.completeBodies.Load(); n != 0 {
		t.Errorf("%d incomplete requests looked complete to the upstream", n)
	}
	p.expectNothingInFlight()
}

// Guards against a long request without a final response: an upstream that does not read the body keeps the program from reading
// the rest of it, and the client's time has to run nevertheless. The client waits 0.5 s, and a response up to 0.5 s later is late.
func TestResponseWhileUpstreamDoesNotRead(t *testing.T) {
	e := newEnvironment(t, neverRead)
	p := start(t, e.config(nil))
	conn := p.sendLongRequest("long", "0.5", 1<<20)
	conn.SetReadDeadline(time.Now().Add(time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("response %v, %v, want status 503 within a second", response, err)
	}
	p.terminate()
	p.expectNothingInFlight()
}
