package simnet

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"salttrack/internal/epoll"
	"salttrack/internal/loop"
)

const (
	maxPolls     = 200 // number of waits for an event after which a test fails
	pollInterval = 50  // ms, timeout of each wait
)

// callRecorder calls the methods of a kernel and records their results as text.
type callRecorder struct {
	t          *testing.T
	kernel     loop.Kernel
	advance    func(ms float64) // advances the virtual clock; nil for the real kernel
	addr       netip.AddrPort
	results    strings.Builder
	generation int32
}

// await waits until a descriptor is ready for all of the given events.
func (k *callRecorder) await(fd int, events uint32) {
	k.t.Helper()
	var ready [16]loop.Event
	for range maxPolls {
		if k.advance != nil {
			k.advance(pollInterval)
		}
		n, err := k.kernel.Wait(ready[:], pollInterval)
		if err != nil {
			k.t.Fatal(err)
		}
		for _, event := range ready[:n] {
			if int(event.Fd) == fd && event.Events&events == events {
				return
			}
		}
	}
	k.t.Fatalf("descriptor %d was not ready for events %#x after %d waits; results so far:\n%s", fd, events, maxPolls,
		k.results.String())
}

// add watches a descriptor for Readable, Writable and HangUp.
func (k *callRecorder) add(fd int) {
	k.t.Helper()
	k.generation++
	if err := k.kernel.Add(fd, loop.Readable|loop.Writable|loop.HangUp, k.generation); err != nil {
		k.t.Fatal(err)
	}
}

// logf records a result.
func (k *callRecorder) logf(format string, args ...any) {
	fmt.Fprintf(&k.results, format+"\n", args...)
}

// connectPair establishes a connection. It returns the descriptors of both ends and of the listener.
func (k *callRecorder) connectPair() (connected, accepted, listener int) {
	k.t.Helper()
	listener, err := k.kernel.Listen(k.addr)
	if err != nil {
		k.t.Fatal(err)
	}
	k.add(listener)
	connected, err = k.kernel.Connect(k.addr)
	if err != nil {
		k.t.Fatal(err)
	}
	k.add(connected)
	k.await(listener, loop.Readable)
	accepted, err = k.kernel.Accept(listener)
	if err != nil {
		k.t.Fatal(err)
	}
	k.add(accepted)
	k.await(connected, loop.Writable)
	k.logf("connected: %v", k.kernel.SocketError(connected))
	return connected, accepted, listener
}

// read reads up to 8 bytes and records the result.
func (k *callRecorder) read(fd int) {
	var buffer [8]byte
	n, err := k.kernel.Read(fd, buffer[:])
	k.logf("read %q %v", buffer[:n], err)
}

// write writes data and records the result.
func (k *callRecorder) write(fd int, data string) {
	n, err := k.kernel.Write(fd, []byte(data))
	k.logf("write %d %v", n, err)
}

// callSequences are sequences of calls that must have the same results on the real and the simulated kernel.
var callSequences = map[string]func(k *callRecorder){
	"data and end of stream":           dataAndEnd,
	"connection refused":               connectionRefused,
	"close with unread input resets":   closeWithUnreadInput,
	"write to a closed peer":           writeToClosedPeer,
	"descriptors are reused":           reuseDescriptors,
	"closed listener refuses connects": closeListener,
	"full window reopens after reads":  fillWindow,
}

func dataAndEnd(k *callRecorder) {
	connected, accepted, _ := k.connectPair()
	k.read(accepted)
	k.logf("idle %v", k.kernel.IdleOpen(accepted))
	k.write(connected, "hello, world")
	k.await(accepted, loop.Readable)
	k.logf("idle %v", k.kernel.IdleOpen(accepted))
	k.read(accepted)
	k.read(accepted)
	k.read(accepted)
	k.kernel.CloseWrite(connected)
	k.await(accepted, loop.Readable|loop.HangUp)
	k.logf("idle %v", k.kernel.IdleOpen(accepted))
	k.read(accepted)
	k.write(accepted, "back")
	k.await(connected, loop.Readable)
	k.read(connected)
	k.kernel.Close(accepted)
	k.await(connected, loop.Readable|loop.HangUp|unix.EPOLLHUP)
	k.read(connected)
}

func connectionRefused(k *callRecorder) {
	fd, err := k.kernel.Connect(k.addr)
	k.logf("connect %v", err)
	k.add(fd)
	k.await(fd, loop.Writable|unix.EPOLLERR|unix.EPOLLHUP)
	k.logf("%v, then %v", k.kernel.SocketError(fd), k.kernel.SocketError(fd))
}

func closeWithUnreadInput(k *callRecorder) {
	connected, accepted, _ := k.connectPair()
	k.write(connected, "unread")
	k.await(accepted, loop.Readable)
	k.write(accepted, "late")
	k.kernel.Close(accepted)
	k.await(connected, unix.EPOLLERR|unix.EPOLLHUP|loop.HangUp)
	k.logf("idle %v", k.kernel.IdleOpen(connected))
	k.logf("error %v", k.kernel.SocketError(connected))
	k.write(connected, "x")
}

func writeToClosedPeer(k *callRecorder) {
	connected, accepted, _ := k.connectPair()
	k.kernel.Close(accepted)
	k.await(connected, loop.Readable|loop.HangUp)
	k.write(connected, "one")
	k.await(connected, unix.EPOLLERR|unix.EPOLLHUP)
	k.write(connected, "two")
	k.write(connected, "three")
	k.read(connected)
}

func reuseDescriptors(k *callRecorder) {
	connected, accepted, listener := k.connectPair()
	k.kernel.Close(connected)
	again, err := k.kernel.Connect(k.addr)
	k.logf("same descriptor %v, %v", again == connected, err)
	k.add(again)
	k.await(listener, loop.Readable)
	other, err := k.kernel.Accept(listener)
	k.logf("accepted another one %v %v", other != accepted, err)
	_, err = k.kernel.Accept(listener)
	k.logf("accept %v", err)
}

func closeListener(k *callRecorder) {
	_, _, listener := k.connectPair()
	k.kernel.Close(listener)
	fd, _ := k.kernel.Connect(k.addr)
	k.add(fd)
	k.await(fd, unix.EPOLLERR|unix.EPOLLHUP)
	k.logf("error %v", k.kernel.SocketError(fd))
	again, err := k.kernel.Listen(k.addr)
	k.logf("listens again %v", again > 0 && err == nil)
	_, err = k.kernel.Listen(k.addr)
	k.logf("second listener fails %v", err != nil)
}

func fillWindow(k *callRecorder) {
	connected, accepted, _ := k.connectPair()
	sent := k.writeUntilBlocked(connected)
	received := 0
	var buffer [65536]byte
	for received < sent {
		k.await(accepted, loop.Readable)
		n, err := k.kernel.Read(accepted, buffer[:])
		if err != nil && err != unix.EAGAIN {
			k.t.Fatal(err)
		}
		received += max(0, n)
	}
	k.logf("all received %v", received == sent)
	k.await(connected, loop.Writable)
	k.write(connected, "more")
	k.await(accepted, loop.Readable)
	k.read(accepted)
}

// writeUntilBlocked writes until the kernel accepts no more bytes. It returns the number of accepted bytes.
func (k *callRecorder) writeUntilBlocked(fd int) int {
	k.t.Helper()
	chunk := []byte(strings.Repeat("x", 4096))
	sent := 0
	for range 10000 {
		n, err := k.kernel.Write(fd, chunk)
		if err != nil {
			k.t.Fatal(err)
		}
		sent += n
		mayDrain := k.advance == nil && sent < 1<<20 // the real kernel moves bytes to the peer in the background
		if n == 0 && !mayDrain {
			break
		}
	}
	return sent
}

// runOnRealKernel returns the results of a call sequence on the kernel of the operating system.
func runOnRealKernel(t *testing.T, sequence func(k *callRecorder)) string {
	t.Helper()
	kernel, err := epoll.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kernel.Release() })
	listener, err := epoll.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	addr := epoll.LocalAddress(listener)
	unix.Close(listener)
	calls := &callRecorder{t: t, kernel: kernel, addr: addr}
	sequence(calls)
	return calls.results.String()
}

// runOnSimulatedKernel returns the results of a call sequence on a simulated process.
func runOnSimulatedKernel(t *testing.T, sequence func(k *callRecorder)) string {
	t.Helper()
	net := New(1, 0, func(string, string) Path { return Path{Latency: 1, Jitter: 0.5} })
	process := net.Spawn("p", "m", "z", 100)
	// The test makes the calls instead of the process's loop.
	// An iteration at -1 ms counts as scheduled, so none is scheduled for the loop: it would have to be earlier.
	process.iterationScheduled = true
	process.iterationAt = -1
	calls := &callRecorder{
		t:       t,
		kernel:  process,
		addr:    netip.MustParseAddrPort("127.0.0.1:1000"),
		advance: func(ms float64) { net.Run(net.Now() + ms) },
	}
	sequence(calls)
	return calls.results.String()
}

// TestSameResultsAsRealKernel checks that the simulated kernel and the real one return the same results.
func TestSameResultsAsRealKernel(t *testing.T) {
	for name, sequence := range callSequences {
		t.Run(name, func(t *testing.T) {
			fromReal := runOnRealKernel(t, sequence)
			fromSimulated := runOnSimulatedKernel(t, sequence)
			if fromReal != fromSimulated {
				t.Errorf("results of the real kernel:\n%s\nresults of the simulated kernel:\n%s", fromReal, fromSimulated)
			}
		})
	}
}
