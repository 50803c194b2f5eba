package loop_test

import (
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"

	"salttrack/internal/epoll"
	"salttrack/internal/loop"
)

var smallBuffers = loop.BufferSizes{Base: 4 << 10, OutgoingReceive: 4 << 10, Large: 64 << 10, MaxLargeReceive: 1, MaxLargeSend: 1}

// connections opens some connections from the loop to a listener of its own, and returns the accepted descriptors and the others.
func connections(t *testing.T, l *loop.Loop, count int) (accepted, outgoing []int) {
	t.Helper()
	listener, err := l.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close(listener) })
	for range count {
		fd, err := l.Connect(epoll.LocalAddress(listener))
		if err != nil {
			t.Fatal(err)
		}
		peer, err := l.Accept(listener)
		if err != nil {
			t.Fatal(err)
		}
		for _, watched := range []int{fd, peer} {
			if err := l.Add(watched, loop.Readable, handlerFunc(func(uint32) {})); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { l.Close(watched) })
		}
		accepted, outgoing = append(accepted, peer), append(outgoing, fd)
	}
	return accepted, outgoing
}

// bufferOf returns the size of a buffer of a socket in bytes, without the part that the kernel adds.
func bufferOf(t *testing.T, fd, option int) int {
	t.Helper()
	size, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, option)
	if err != nil {
		t.Fatal(err)
	}
	return size / 2
}

// fill writes until the kernel accepts no more, and returns the number of bytes.
func fill(t *testing.T, l *loop.Loop, fd int) (bytes int) {
	t.Helper()
	for part := make([]byte, 32<<10); ; {
		n, err := l.Write(fd, part)
		if err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			return bytes
		}
		bytes += n
	}
}

// Guards against kernel buffers that grow with the number of connections: only some are large, whatever the connections send.
func TestFewConnectionsHaveLargeBuffers(t *testing.T) {
	l := newLoop(t)
	l.SetBufferSizes(smallBuffers)
	accepted, outgoing := connections(t, l, 3)
	for i, want := range []int{smallBuffers.Large, smallBuffers.Base, smallBuffers.Base} {
		if size := bufferOf(t, outgoing[i], unix.SO_RCVBUF); size != want {
			t.Errorf("outgoing connection %d: receive buffer of %d bytes, want %d", i, size, want)
		}
		if size := bufferOf(t, accepted[i], unix.SO_RCVBUF); size != smallBuffers.Base {
			t.Errorf("accepted connection %d: receive buffer of %d bytes, want %d", i, size, smallBuffers.Base)
		}
	}
	for i, fd := range accepted {
		fill(t, l, fd)
		want := smallBuffers.Base
		if i == 0 {
			want = smallBuffers.Large
		}
		if size := bufferOf(t, fd, unix.SO_SNDBUF); size != want {
			t.Errorf("full connection %d: send buffer of %d bytes, want %d", i, size, want)
		}
	}
	if bytes := l.BufferedBytesOfAll(); bytes < smallBuffers.Large {
		t.Errorf("%d bytes in the kernel's buffers, of which one is large and full", bytes)
	}
}

// A large send buffer goes to another connection when it is empty, and when its connection is closed.
func TestLargeSendBufferIsReused(t *testing.T) {
	l := newLoop(t)
	l.SetBufferSizes(smallBuffers)
	accepted, outgoing := connections(t, l, 3)
	left := fill(t, l, accepted[0])
	for buffer := make([]byte, 64<<10); left > 0; {
		n, err := epoll.Read(outgoing[0], buffer)
		if err != nil && err != unix.EAGAIN {
			t.Fatal(err)
		}
		left -= max(0, n)
	}
	fill(t, l, accepted[1])
	first, second := bufferOf(t, accepted[0], unix.SO_SNDBUF), bufferOf(t, accepted[1], unix.SO_SNDBUF)
	if first >= smallBuffers.Large || second != smallBuffers.Large {
		t.Errorf("send buffers of %d and %d bytes, the second should be large", first, second)
	}
	l.Close(accepted[1])
	fill(t, l, accepted[2])
	if size := bufferOf(t, accepted[2], unix.SO_SNDBUF); size != smallBuffers.Large {
		t.Errorf("send buffer of %d bytes after the large one was closed", size)
	}
}
