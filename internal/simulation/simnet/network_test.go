package simnet

import (
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"salttrack/internal/loop"
)

var testAddr = netip.MustParseAddrPort("127.0.0.1:1")

// newTestNetwork returns a network with two processes: a in the zone east, b in the zone west.
// Each may have 16 open descriptors.
func newTestNetwork(seed uint64) (net *Network, a, b *Process) {
	net = New(seed, 0, func(string, string) Path { return Path{Latency: 2, Jitter: 0.5} })
	return net, net.Spawn("a", "ma", "east", 16), net.Spawn("b", "mb", "west", 16)
}

// handler is a loop.Handler that calls a function.
type handler func(events uint32)

func (h handler) Ready(events uint32) { h(events) }

// serve makes a process accept connections at testAddr.
// It watches each connection for events, with the handler that onAccept returns for it.
func serve(p *Process, events uint32, onAccept func(fd int) handler) {
	listener, _ := p.Listen(testAddr)
	p.Loop().Add(listener, loop.Readable, handler(func(uint32) {
		if fd, err := p.Accept(listener); err == nil {
			p.Loop().Add(fd, events, onAccept(fd))
		}
	}))
}

// TestStreamIntegrity checks that a stream arrives complete and in order, whatever the fragmentation.
// A partition that heals with ResumeConnections only delays it.
func TestStreamIntegrity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net, a, b := newTestNetwork(rapid.Uint64().Draw(t, "seed"))
		net.SetFragmentation(rapid.Float64Range(0, 1).Draw(t, "fragmentation"))
		want := strings.Repeat("0123456789", rapid.IntRange(1, 20000).Draw(t, "tens"))
		got := strings.Builder{}
		serve(b, loop.Readable, func(fd int) handler {
			return func(uint32) {
				var buffer [4096]byte
				n, _ := b.Read(fd, buffer[:])
				got.Write(buffer[:n])
			}
		})
		a.Loop().Post(func() {
			fd, _ := a.Connect(testAddr)
			rest := []byte(want)
			a.Loop().Add(fd, loop.Writable, handler(func(uint32) {
				n, err := a.Write(fd, rest)
				if err != nil {
					t.Fatal(err)
				}
				rest = rest[n:]
				if len(rest) == 0 {
					a.Loop().Watch(fd, 0)
				}
			}))
		})
		if rapid.Bool().Draw(t, "partition") {
			at := rapid.Float64Range(0, 50).Draw(t, "at")
			net.Schedule(at, "partition", func() { net.Partition("east", "west") })
			net.Schedule(at+100, "heal", func() { net.Heal("east", "west", ResumeConnections) })
		}
		net.Run(60000)
		if got.String() != want {
			t.Fatalf("received %d bytes that differ from the %d bytes sent", got.Len(), len(want))
		}
	})
}

// connectionCounts counts events of the connections of a test.
type connectionCounts struct {
	accepted  int // connections that b accepted
	connected int // connections that were established at the connecting end
	reset     int // connections that were reset at the connecting end
	closed    int // connections that were closed at the accepted end
}

// connect opens a connection from a process and counts its events.
func (e *connectionCounts) connect(p *Process) {
	fd, _ := p.Connect(testAddr)
	connected := false
	p.Loop().Add(fd, loop.Readable|loop.Writable, handler(func(events uint32) {
		if !connected && events&loop.Writable != 0 && events&loop.Failed == 0 {
			connected = true
			e.connected++
			p.Loop().Watch(fd, loop.Readable|loop.HangUp)
			p.Write(fd, nil)
			return
		}
		if events&loop.Failed != 0 {
			e.reset++
		}
		p.Loop().Close(fd)
	}))
}

// TestPartition checks that processes notice nothing of a partition until it heals with ResetConnections.
// Then open connections are reset at both ends, and pending connects succeed.
func TestPartition(t *testing.T) {
	net, a, b := newTestNetwork(1)
	events := &connectionCounts{}
	serve(b, loop.Readable|loop.HangUp, func(fd int) handler {
		events.accepted++
		return func(uint32) {
			events.closed++
			b.Loop().Close(fd)
		}
	})
	a.Loop().Post(func() { events.connect(a) })
	net.Run(50)
	if events.connected != 1 || events.accepted != 1 {
		t.Fatalf("before the partition: %+v, want 1 connected and 1 accepted", *events)
	}
	net.Partition("east", "west")
	a.Loop().Post(func() { a.Write(firstDescriptor, []byte("lost")) })
	a.Loop().Post(func() { events.connect(a) })
	net.Run(5000)
	if events.connected != 1 || events.reset+events.closed != 0 {
		t.Errorf("during the partition: %+v, want 1 connected, 0 reset and 0 closed", *events)
	}
	net.Heal("east", "west", ResetConnections)
	net.Run(7000)
	if events.connected != 2 || events.reset != 1 || events.closed != 1 {
		t.Errorf("after the partition: %+v, want 2 connected, 1 reset and 1 closed", *events)
	}
}
