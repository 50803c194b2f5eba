package cluster

import (
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/internal/epoll"
	"salttrack/internal/loop"
)

// loopbackHost is a host whose event loop uses the sockets of this machine. It owns its open descriptors until Kill.
type loopbackHost struct {
	*epoll.Kernel
	environment *loopbackEnvironment
	name        string
	loop        *loop.Loop
	open        map[int]bool // the open descriptors
}

// Loop returns the host's event loop.
func (h *loopbackHost) Loop() *loop.Loop { return h.loop }

// Name returns the host's name.
func (h *loopbackHost) Name() string { return h.name }

// LastReadSentAt returns the current time in ms, because the time at which the peer sent a byte is unknown.
func (h *loopbackHost) LastReadSentAt(int) float64 { return h.Now() }

// PeerName returns "", because the process at the other end of a connection is unknown.
func (h *loopbackHost) PeerName(int) string { return "" }

// track adds a descriptor to the open ones if err is nil. It returns its arguments.
func (h *loopbackHost) track(fd int, err error) (int, error) {
	if err == nil {
		h.open[fd] = true
	}
	return fd, err
}

// Listen opens a listener and returns its descriptor.
func (h *loopbackHost) Listen(addr netip.AddrPort) (int, error) {
	return h.track(h.Kernel.Listen(addr))
}

// Connect starts to connect to an address and returns the descriptor of the connection.
func (h *loopbackHost) Connect(addr netip.AddrPort) (int, error) {
	return h.track(h.Kernel.Connect(addr))
}

// Accept accepts a connection from a listener and returns the descriptor of the connection.
func (h *loopbackHost) Accept(fd int) (int, error) { return h.track(h.Kernel.Accept(fd)) }

// Close closes a descriptor.
func (h *loopbackHost) Close(fd int) {
	delete(h.open, fd)
	h.Kernel.Close(fd)
}

// Wait waits for readiness events for at most ms milliseconds.
// It releases the environment's mutex during the wait, so that other loops can run.
func (h *loopbackHost) Wait(into []loop.Event, ms int) (int, error) {
	h.environment.mu.Unlock()
	n, err := h.Kernel.Wait(into, ms)
	h.environment.mu.Lock()
	return n, err
}

// Kill closes all descriptors, which resets the connections, and stops the event loop.
// To the peers this looks as if the process had been killed.
func (h *loopbackHost) Kill() {
	for fd := range h.open {
		unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		h.Kernel.Close(fd)
	}
	clear(h.open)
	h.loop.Stop()
	h.Wake()
}
