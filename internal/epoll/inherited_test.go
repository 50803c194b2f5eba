package epoll

import (
	"testing"

	"golang.org/x/sys/unix"
)

// An inherited listener must not block the loop, even if another process that has the socket makes it blocking.
func TestInheritedListenerDoesNotBlock(t *testing.T) {
	fd := listenLoopback(t)
	k, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Release)
	if err := k.Adopt(fd); err != nil {
		t.Fatal(err)
	}
	unix.SetNonblock(fd, false)
	if _, err := k.Accept(fd); err != unix.EAGAIN {
		t.Errorf("accept without a connection: %v", err)
	}
	unix.SetNonblock(fd, false) // as if another process did so between Kernel.setNonblocking and the accept
	if _, err := Accept(fd); err != unix.EAGAIN {
		t.Errorf("accept on a blocking listener without a connection: %v", err)
	}
	if err := k.Adopt(k.epollFD); err == nil {
		t.Error("Adopt accepts a descriptor that is not a listening socket")
	}
}
