package epoll

import (
	"net/netip"
	"os"
	"testing"

	"golang.org/x/sys/unix"
)

var anyLoopbackPort = netip.MustParseAddrPort("127.0.0.1:0")

func listenLoopback(t *testing.T) int {
	t.Helper()
	fd, err := Listen(anyLoopbackPort)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	return fd
}

// connectPair returns the descriptors of the client's and the server's side of a connection. The caller closes the
// server's side.
func connectPair(t *testing.T) (client, server int) {
	t.Helper()
	listener := listenLoopback(t)
	if _, err := Accept(listener); err != unix.EAGAIN {
		t.Errorf("accept without a connection: %v", err)
	}
	client, err := Connect(LocalAddress(listener))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(client) })
	server, err = Accept(listener)
	if err != nil || SocketError(client) != nil {
		t.Fatal(err, SocketError(client))
	}
	return client, server
}

func checkRead(t *testing.T, fd, want int, wantErr error) {
	t.Helper()
	var buffer [8]byte
	if n, err := Read(fd, buffer[:]); n != want || err != wantErr {
		t.Errorf("read %d bytes, %v; want %d, %v", n, err, want, wantErr)
	}
}

func checkWrite(t *testing.T, fd int, text string) {
	t.Helper()
	if n, err := Write(fd, []byte(text)); n != len(text) || err != nil {
		t.Errorf("wrote %d bytes, %v", n, err)
	}
}

func TestReadAndWrite(t *testing.T) {
	client, server := connectPair(t)
	defer unix.Close(server)
	if !IdleOpen(client) {
		t.Error("IdleOpen reports false for an open connection without unread bytes")
	}
	checkWrite(t, server, "ab")
	if IdleOpen(client) {
		t.Error("IdleOpen reports true for a connection with unread bytes")
	}
	checkRead(t, client, 2, nil)
	checkRead(t, client, 0, unix.EAGAIN)
}

// A read returns unread bytes before the end of the stream. PeerClosed detects the close before they are read.
func TestPeerClosed(t *testing.T) {
	client, server := connectPair(t)
	checkWrite(t, server, "ab")
	if PeerClosed(client) {
		t.Error("PeerClosed reports true for an open connection")
	}
	unix.Close(server)
	if !PeerClosed(client) {
		t.Error("PeerClosed reports false although the peer has closed the connection")
	}
	checkRead(t, client, 2, nil)
	checkRead(t, client, 0, nil)
	if IdleOpen(client) {
		t.Error("IdleOpen reports true for a closed connection")
	}
}

func TestListenFails(t *testing.T) {
	if _, err := Listen(LocalAddress(listenLoopback(t))); err == nil {
		t.Error("Listen opens a second listener on the same address")
	}
	if _, err := Listen(netip.MustParseAddrPort("192.0.2.1:80")); err == nil || os.IsNotExist(err) {
		t.Error("Listen opens a listener on an address of another machine")
	}
}
