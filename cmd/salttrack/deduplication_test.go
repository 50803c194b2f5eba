package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

const (
	deduplicationWindow = time.Second
	holdDuration        = 200 * time.Millisecond // how long the upstream holds the first attempt before it is reset
	synRetryInterval    = time.Second            // time after which the kernel repeats a SYN that got no answer
)

// jammedListener is a listening socket whose accept queue is full, so that the kernel drops new SYNs.
type jammedListener struct {
	*net.TCPListener
	fillers []net.Conn
}

// listenJammed opens a listener and fills its queue.
func listenJammed(t *testing.T) *jammedListener {
	t.Helper()
	l := &jammedListener{TCPListener: listen(t).(*net.TCPListener)}
	t.Cleanup(func() { l.Close() })
	l.setBacklog(t, 0)
	for range 4 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return l
		}
		l.fillers = append(l.fillers, c)
	}
	t.Fatal("the queue of the listener does not fill")
	return nil
}

func (l *jammedListener) setBacklog(t *testing.T, connections int) {
	t.Helper()
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var listenError error
	err = raw.Control(func(fd uintptr) { listenError = syscall.Listen(int(fd), connections) })
	if err := errors.Join(err, listenError); err != nil {
		t.Fatal(err)
	}
}

// clear makes room in the queue.
func (l *jammedListener) clear(t *testing.T) {
	t.Helper()
	l.setBacklog(t, 16)
	for _, filler := range l.fillers {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
		filler.Close()
	}
}

// resetKeyed is an upstream's handler that resets the connection of a request with an idempotency key after holdDuration,
// and serves other requests. It closes each connection, so that the balancer has none that it could reuse.
func resetKeyed(received chan<- time.Time) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		if r.Header.Get("Idempotency-Key") == "" {
			echo(w, r)
			return
		}
		received <- time.Now()
		time.Sleep(holdDuration)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
	}
}

// withKeyedClass makes the class "pay" one with an idempotency key, and lets connects take longer than a lost SYN.
func withKeyedClass(config map[string]any) {
	settings := settingsOf(config)
	settings["limits"].(map[string]any)["connect_timeout_ms"] = 1500
	class := classOf(settings, 1)
	class["idempotency"] = "dedup"
	class["group"] = "zone"
	class["window_ms"] = deduplicationWindow.Milliseconds()
}

// sendKeyed sends a request with an idempotency key on a connection of its own.
func (p *program) sendKeyed() net.Conn {
	conn := p.dial()
	fmt.Fprint(conn, "POST /pay/x HTTP/1.1\r\nX-Txn: keyed\r\nX-Lane: pay\r\nX-Remaining: 4\r\nIdempotency-Key: k\r\nContent-Length: 1\r\n\r\n1")
	return conn
}

// Guards against a keyed request that runs twice, because its retry waits for a connection until its window has ended.
func TestKeyedRetryIsNotSentAfterItsWindow(t *testing.T) {
	received := make(chan time.Time, 2)
	e := newEnvironment(t, resetKeyed(received))
	p := start(t, e.config(withKeyedClass))
	p.requestsToFirst(e, "read-") // fills the retry budget
	late := listenJammed(t)
	e.upstreams = append(e.upstreams, &fakeUpstream{id: "s-1", listener: late})

	conn := p.sendKeyed()
	first := <-received
	e.sendUpdate(`{"revision":2,"complete":false,"members":[` + e.endpoint(1, "in_service") + `]}`)
	time.Sleep(holdDuration + synRetryInterval/4)
	late.clear(t)

	late.SetDeadline(first.Add(2*synRetryInterval + holdDuration))
	retry, err := late.Accept()
	if err != nil || time.Since(first) < deduplicationWindow {
		t.Fatalf("the connection of the retry: %v, %v after the first attempt, want one after %v", err, time.Since(first), deduplicationWindow)
	}
	sent, _ := io.ReadAll(io.LimitReader(retry, 1))
	if len(sent) != 0 {
		t.Errorf("the retry is sent %v after the first attempt, its window is %v", time.Since(first), deduplicationWindow)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusBadGateway {
		t.Errorf("response %v, %v, want status 502", response, err)
	}
	p.terminate()
	p.expectNothingInFlight()
}

// Guards against a request that runs twice, because a new process with the name and the address of the one that got the first
// attempt is in another cell, whose upstreams do not know the key.
func TestKeyedRetryStaysInCellOfFirstAttempt(t *testing.T) {
	received := make(chan time.Time, 2)
	e := newEnvironment(t, resetKeyed(received))
	p := start(t, e.config(func(config map[string]any) {
		withKeyedClass(config)
		classOf(settingsOf(config), 1)["group"] = "cell"
	}))
	p.requestsToFirst(e, "read-") // fills the retry budget
	e.startUpstream(echo)         // s-1, in the cell of the new process of s-0
	conn := p.sendKeyed()
	<-received
	restartedAt := time.Now().Add(-time.Minute).UnixMilli()
	e.sendUpdate(fmt.Sprintf(`{"revision":2,"complete":false,"members":[
		{"id":"s-0","host_port":%q,"locality":"here","cell":1,"phase":"in_service","up_since_ms":%d},
		{"id":"s-1","host_port":%q,"locality":"here","cell":1,"phase":"in_service","up_since_ms":0}]}`,
		e.upstreams[0].listener.Addr(), restartedAt, e.upstreams[1].listener.Addr()))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusBadGateway || e.upstreams[1].requests.Load() != 0 {
		t.Errorf("response %v, %v, want status 502; %d requests in the other cell", response, err, e.upstreams[1].requests.Load())
	}
	p.terminate()
	p.expectNothingInFlight()
}
