// Package admin is the operators' HTTP/1.1 server: it reports whether a balancer is ready, and disables and enables upstreams. It runs
// on the balancer's loop, with descriptors that are reserved for it.
package admin

import (
	"container/list"
	"net/netip"

	"golang.org/x/sys/unix"

	"salttrack/balance"
	"salttrack/internal/counter"
	"salttrack/internal/http1"
	"salttrack/internal/loop"
)

// Limits of the server.
const (
	minIdleToShed balance.Millis = 30 // younger connections are not shed: the rest of their request may be on the way
	acceptPause   balance.Millis = minIdleToShed / 4

	maxAcceptsPerEvent = 64
	readBufferSize     = 4 << 10
)

// Balancer is the balancer that the server operates on. Its methods are called on the loop.
type Balancer interface {
	// Ready reports whether the balancer accepts new requests.
	Ready() bool
	// KnowsUpstream reports whether an upstream with the id was ever on the endpoint list.
	KnowsUpstream(id string) bool
	// SetDisabled disables or enables an upstream. Done is called on the loop once the override is in force and stored, or with the
	// reason why it is not. Calls of done after the first have no effect.
	SetDisabled(id string, disabled bool, done func(error))
}

// Options is what a server works with.
type Options struct {
	Loop           *loop.Loop
	MaxConnections int // open at once
	Counters       *counter.Set
	Balancer       Balancer
}

// Server accepts operators' connections. It owns its listening descriptor and those of its connections: Close closes them all.
type Server struct {
	Options
	listener    int        // descriptor, or closedDescriptor
	connections *list.List // of *connection, the least recently active first
	readBuffer  []byte     // shared by all connections, which are read one after the other
	counters    counters
}

// counters are the server's counts.
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
	if err := s.Loop.Add(fd, loop.In, s); err != nil {
		s.Loop.Close(fd)
		return err
	}
	s.Loop.Prioritize(fd)
	s.listener = fd
	return nil
}

// SetMaxConnections changes how many connections may be open at once. Those that are open stay.
func (s *Server) SetMaxConnections(n int) { s.MaxConnections = n }

// Descriptors is the number of descriptors that the server holds.
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

// Ready accepts pending connections. It is the loop's callback for the listening socket.
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

// serve begins to read from a new connection, whose descriptor it owns from then on.
func (s *Server) serve(fd int) {
	c := &connection{server: s, fd: fd, decoder: http1.NewAdminRequestDecoder()}
	if err := s.Loop.Add(fd, loop.In|loop.Hup, c); err != nil {
		s.Loop.Close(fd)
		return
	}
	s.Loop.Prioritize(fd)
	c.listElement = s.connections.PushBack(c)
	c.lastActivity = s.Loop.Now()
	c.setTimeout(requestTimeout, c.timeOut)
	c.Ready(loop.In) // the request has often arrived already
}

// pauseAccepting leaves new connections in the kernel's queue for a short time.
func (s *Server) pauseAccepting() {
	s.Loop.Watch(s.listener, 0)
	s.Loop.After(acceptPause, func() {
		if s.listener != closedDescriptor {
			s.Loop.Watch(s.listener, loop.In)
		}
	})
}

// shedLeastRecentlyActive closes the connection whose last byte is the oldest, also one that waits for an override, and reports
// whether there was one to close.
func (s *Server) shedLeastRecentlyActive() bool {
	c := s.leastRecentlyActive()
	if s.Loop.Now()-c.lastActivity < minIdleToShed {
		return false
	}
	s.counters.shed.Inc()
	c.close()
	return true
}

// leastRecentlyActive is the connection whose last byte is the oldest. There has to be one.
func (s *Server) leastRecentlyActive() *connection { return s.connections.Front().Value.(*connection) }
