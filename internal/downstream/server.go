// Package downstream is the client side: it accepts connections, reads requests from them, hands these to the request handler
// as exchanges, and writes the responses. All of it runs on the loop.
package downstream

import (
	"container/list"
	"net/netip"

	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/counter"
	"salttrack/internal/exchange"
	"salttrack/internal/loop"
	"salttrack/internal/shutdown"
	"salttrack/internal/timer"
	"salttrack/internal/trace"
)

// RequestHandler handles requests. Responses come back by the exchange.
type RequestHandler interface {
	// HandleRequest handles a new request. The response may be given before HandleRequest returns.
	HandleRequest(*exchange.Exchange)
	// ClientDisconnected reports that the client no longer waits for its response, or that its body was rejected.
	ClientDisconnected(*exchange.Exchange)
	// RequestComplete reports the last byte of a request that was accepted without it.
	RequestComplete(*exchange.Exchange)
	// SetShutdownDeadline sets the latest time of a response for every exchange, open or later.
	SetShutdownDeadline(balance.Millis)
}

// Options is what a server works with.
type Options struct {
	Loop          *loop.Loop
	Table         *loop.DescriptorTable
	OverflowLimit int // connections beyond the table, whose requests are rejected with 503
	Counters      *counter.Set
	Buffers       *bodystream.BufferPool
	Synced        func() bool   // whether the endpoint list and the overrides in force are known
	Trace         *trace.Tracer // nil for none
	// OnPhase is called when a phase of the shutdown begins, with the number of open connections; nil for nobody.
	OnPhase func(phase shutdown.Phase, connections int)
}

// Settings is what the client side uses of the settings in force. It is read-only once it has been applied.
type Settings struct {
	Classes         map[string]uint8      // numbers of the classes that requests may name
	Idempotency     []balance.Idempotency // by class number
	LongestDeadline balance.Millis        // of the classes that requests may name
	ResponseMargin  balance.Millis        // between the response and the time at which the client gives up
}

// Server is the client side of one balancer. It owns the listening socket from Listen or ListenOn on, and all accepted
// connections, until Close.
type Server struct {
	Options
	handler        RequestHandler
	settings       *Settings
	listener       int // descriptor, -1 while there is none
	conns          map[*conn]struct{}
	openRequestIDs map[string]struct{} // of the requests that have no response yet
	readingConns   *list.List          // of *conn without a complete request, the least recently active first
	overflowConns  int                 // connections beyond the table
	quota          *loop.Quota         // of the descriptor table
	queuedSince    balance.Millis      // earliest arrival of connections that could not be accepted, 0 if there are none
	drain          drain
	readBuffer     []byte // shared by all connections; valid until the next read
	counters       counters
}

// drain is the state of a graceful shutdown.
type drain struct {
	schedule    shutdown.Schedule
	phaseTimers []*timer.Timer
	done        func() // called once at the end; nil before the shutdown and after its end
}

// NewServer returns a server that does not listen yet.
func NewServer(o Options) *Server {
	s := &Server{
		Options:        o,
		listener:       -1,
		conns:          map[*conn]struct{}{},
		openRequestIDs: map[string]struct{}{},
		readingConns:   list.New(),
		readBuffer:     make([]byte, readBufferBytes),
		counters:       newCounters(o.Counters),
	}
	o.Counters.Gauge("client_connections_open", func() uint64 { return uint64(len(s.conns)) })
	s.quota = o.Table.NewQuota(s.shedIdle)
	return s
}

// SetRequestHandler sets who handles the requests. It has to be called before the server listens.
func (s *Server) SetRequestHandler(h RequestHandler) { s.handler = h }

// ApplySettings sets the settings of requests that are received from now on. During a shutdown they may shorten its schedule.
func (s *Server) ApplySettings(to *Settings) {
	s.settings = to
	if s.drain.done != nil {
		s.applySchedule(s.drain.schedule.Shortened(to.LongestDeadline))
	}
}

// Listen opens a listening socket and accepts connections from it.
func (s *Server) Listen(addr netip.AddrPort) error {
	fd, err := s.Loop.Listen(addr)
	if err != nil {
		return err
	}
	return s.ListenOn(fd)
}

// ListenOn accepts connections from a socket that listens already, and owns it from now on.
func (s *Server) ListenOn(fd int) error {
	if err := s.Loop.Add(fd, loop.In, s); err != nil {
		s.Loop.Close(fd)
		return err
	}
	s.listener = fd
	return nil
}

// closeListener closes the listening socket.
func (s *Server) closeListener() {
	if s.listener >= 0 {
		s.Loop.Close(s.listener)
		s.listener = -1
	}
}
