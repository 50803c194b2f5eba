// Package admin is the HTTP/1.1 server for operators. It reports whether a balancer is ready, and disables and enables upstreams.
// It runs on the balancer's event loop and uses descriptors that are reserved for it.
package admin

import (
	"container/list"
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/counter"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
)

// Limits of the server. Times are in ms, and sizes in bytes.
const (
	minIdleToShed balance.Millis = 30                // idle time before a connection may be shed; until then the rest of its request may arrive
	acceptPause   balance.Millis = minIdleToShed / 4 // pause in accepting after an accept failed, or while no connection can be shed

	maxAcceptsPerEvent = 64
	readBufferSize     = 4 << 10
	connectionBytes    = 1 << 10 // about the memory of a connection, in bytes
)

// Balancer is the balancer that the server reports on and changes. The server calls its methods on the event loop.
type Balancer interface {
	// Ready reports whether the balancer accepts new requests.
	Ready() bool
	// KnowsUpstream reports whether the named upstream is on the endpoint list, is disabled, or was recently removed from the list.
	KnowsUpstream(name string) bool
	// SetDisabled disables or enables an upstream.
	// It calls done on the event loop, with nil once the override is in force and, if hot restart is enabled, stored,
	// or with an error.
	// The server ignores further calls of done.
	SetDisabled(name string, disabled bool, done func(error))
}

// Options are the dependencies and limits of a server.
type Options struct {
	Loop           *loop.Loop
	MaxConnections int             // maximum number of open connections
	Memory         *memory.Account // counts the memory of the connections; nil for no limit
	Counters       *counter.Set
	Balancer       Balancer
}

// Server accepts connections from operators. It owns its listening socket and its connections, which Close closes.
type Server struct {
	Options
	listener    int        // descriptor of the listening socket, or closedDescriptor
	connections *list.List // elements are *connection, the least recently active first
	readBuffer  []byte     // shared by all connections, since each read is handled before the next one
	counters    counters
}

// counters are the counters of a server.
type counters struct {
	accepted, succeeded, rejected, shed, timedOut *counter.Counter
}

const closedDescriptor = -1

// New returns a server that does not listen yet.
func New(o Options) *Server {
	return &Server{
		Options:     o,
		listener:    closedDescriptor,
		connections: list.New(),
		readBuffer:  make([]byte, readBufferSize),
		counters: counters{
			accepted:  o.Counters.New("admin_connections_accepted"),
			succeeded: o.Counters.New("admin_requests_succeeded"),
			rejected:  o.Counters.New("admin_requests_rejected"),
			shed:      o.Counters.New("admin_connections_shed"),
			timedOut:  o.Counters.New("admin_requests_timed_out"),
		},
	}
}

// Listen opens the listening socket.
func (s *Server) Listen(address netip.AddrPort) error {
	fd, err := s.Loop.Listen(address)
	if err != nil {
		return err
	}
	if err := s.Loop.Add(fd, loop.Readable, s); err != nil {
		s.Loop.Close(fd)
		return err
	}
	s.Loop.Prioritize(fd)
	s.listener = fd
	return nil
}

// SetMaxConnections sets the maximum number of open connections. It closes no connection that is open.
func (s *Server) SetMaxConnections(n int) { s.MaxConnections = n }

// Descriptors returns the number of descriptors that the server holds.
func (s *Server) Descriptors() int {
	if s.listener == closedDescriptor {
		return 0
	}
	return s.connections.Len() + 1
}

// Close closes the listening socket and all connections.
func (s *Server) Close() {
	for s.connections.Len() > 0 {
		s.leastRecentlyActive().close()
	}
	if s.listener != closedDescriptor {
		s.Loop.Close(s.listener)
		s.listener = closedDescriptor
	}
}

// Ready accepts pending connections. It is the event loop's callback for the listening socket.
func (s *Server) Ready(uint32) {
	for range maxAcceptsPerEvent {
		if s.connections.Len() >= s.MaxConnections && !s.shedLeastRecentlyActive() {
			s.pauseAccepting()
			return
		}
		fd, err := s.Loop.Accept(s.listener)
		if err == unix.EAGAIN {
			return
		}
		if err != nil {
			s.pauseAccepting()
			return
		}
		s.counters.accepted.Inc()
		s.serve(fd)
	}
}

// serve starts reading from a new connection. It takes ownership of the descriptor.
func (s *Server) serve(fd int) {
	c := &connection{server: s, fd: fd, decoder: http1.NewAdminRequestDecoder()}
	c.decoder.CountMemory(s.Memory)
	if err := s.Loop.Add(fd, loop.Readable|loop.HangUp, c); err != nil {
		s.Loop.Close(fd)
		return
	}
	s.Loop.Prioritize(fd)
	s.Memory.Add(memory.Connections, connectionBytes)
	c.listElement = s.connections.PushBack(c)
	c.lastActivity = s.Loop.Now()
	c.setTimeout(requestTimeout, c.timeOut)
	c.Ready(loop.Readable) // saves a turn of the event loop, since the request has often arrived already
}

// pauseAccepting stops accepting connections for acceptPause. New connections stay in the kernel's queue meanwhile.
func (s *Server) pauseAccepting() {
	s.Loop.Watch(s.listener, 0)
	s.Loop.After(acceptPause, func() {
		if s.listener != closedDescriptor {
			s.Loop.Watch(s.listener, loop.Readable)
		}
	})
}

// shedLeastRecentlyActive closes the least recently active connection, even if its override is being stored.
// It returns false and closes nothing if that connection has been idle for less than minIdleToShed.
func (s *Server) shedLeastRecentlyActive() bool {
	c := s.leastRecentlyActive()
	if s.Loop.Now()-c.lastActivity < minIdleToShed {
		return false
	}
	s.counters.shed.Inc()
	c.close()
	return true
}

// leastRecentlyActive returns the connection that has not received a byte for the longest time. The list must not be empty.
func (s *Server) leastRecentlyActive() *connection { return s.connections.Front().Value.(*connection) }
