// Package downstream is the server that clients connect to.
// It accepts connections, receives requests, passes them as exchanges to a RequestHandler, and sends the responses.
// All its code runs on one event loop.
//
// The number of regular connections is limited by a quota of the descriptors of the process.
// When the quota is exhausted, a limited number of further connections is accepted as overflow connections.
// Requests on overflow connections are rejected with status 503, unless a descriptor has become available when the request arrives.
package downstream

import (
	"container/list"
	"net/netip"

	"salttrack/balance"
	"salttrack/internal/bodystream"
	"salttrack/internal/counter"
	"salttrack/internal/exchange"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
	"salttrack/internal/replay"
	"salttrack/internal/shutdown"
	"salttrack/internal/timer"
	"salttrack/internal/trace"
)

// RequestHandler handles requests. It sends each response with Exchange.Respond.
type RequestHandler interface {
	// HandleRequest handles a new request. The response may be sent before HandleRequest returns.
	HandleRequest(*exchange.Exchange)
	// ClientDisconnected reports that the client has disconnected before its response,
	// or that the rest of a streamed request body was rejected.
	ClientDisconnected(*exchange.Exchange)
	// RequestComplete reports that the last byte of a streamed request body has been received.
	RequestComplete(*exchange.Exchange)
	// RequestExpired reports that the deadline of a request has passed, although the last byte of its streamed body has not
	// been read yet. The response has to be sent now.
	RequestExpired(*exchange.Exchange)
	// SetShutdownDeadline sets the time by which all current and future exchanges must have their responses.
	SetShutdownDeadline(balance.Millis)
}

// Options are the dependencies and fixed limits of a server.
type Options struct {
	Loop          *loop.Loop
	Descriptors   *loop.DescriptorLimiter
	OverflowLimit int // maximum number of overflow connections
	Counters      *counter.Set
	Buffers       *bodystream.BufferPool // buffers for streamed bodies
	Memory        *memory.Account        // counts the memory of connections and requests; nil for no limit
	ExecutedIDs   *replay.Cache          // ids of requests that may have run and must not run again; nil if they are not checked
	Synced        func() bool            // reports whether the endpoint list and the overrides are known
	Trace         *trace.Tracer          // nil disables tracing
	// OnPhase is called when a phase of the shutdown begins, with the number of open connections. It may be nil.
	OnPhase func(phase shutdown.Phase, connections int)
}

// Settings are the settings of the server that can be reloaded. They must not be modified after ApplySettings.
type Settings struct {
	Classes         map[string]uint8      // class numbers by the class names that are valid in requests
	Idempotency     []balance.Idempotency // indexed by class number
	Weights         []float64             // priority weights by class number, from 0 to 1 for the highest
	LongestDeadline balance.Millis        // longest deadline of all classes in Classes
	ResponseMargin  balance.Millis        // time from RespondBy to ClientDeadline of an exchange; less for a short remaining time
}

// Server accepts client connections and serves their requests.
// It owns the listening socket, from the call of Listen or ListenOn, and all accepted connections until Close.
type Server struct {
	Options
	handler        RequestHandler
	settings       *Settings
	listener       int // descriptor of the listening socket, -1 if it is not open
	conns          map[*conn]struct{}
	openRequestIDs map[string]struct{}   // ids of the requests that have no response yet
	readingConns   *list.List            // list of *conn in the state requestReader, the least recently active first
	overflow       *list.List            // list of *conn of overflow connections, in the order of their accepts
	quota          *loop.DescriptorQuota // quota of descriptors for regular connections
	queuedSince    balance.Millis        // earliest arrival of the connections that wait in the listener's queue during a pause; 0 if none
	resumeQueue    resumeQueue
	drain          drain
	readBuffer     []byte // shared by all connections; its contents are valid until the next read
	writeBuffer    []byte // shared by all connections, for a short response that is written at once
	counters       counters
}

// drain is the state of a graceful shutdown.
type drain struct {
	schedule    shutdown.Schedule
	phaseTimers []*timer.Timer
	done        func() // called once when the shutdown has ended; nil before the shutdown and after its end
}

// NewServer returns a server that does not listen yet.
func NewServer(o Options) *Server {
	s := &Server{
		Options:        o,
		listener:       -1,
		conns:          map[*conn]struct{}{},
		openRequestIDs: map[string]struct{}{},
		readingConns:   list.New(),
		overflow:       list.New(),
		readBuffer:     make([]byte, readBufferBytes),
		counters:       newCounters(o.Counters),
	}
	o.Counters.Gauge("client_connections_open", func() uint64 { return uint64(len(s.conns)) })
	s.quota = o.Descriptors.NewQuota(s.shedIdle)
	return s
}

// SetRequestHandler sets the handler of all requests. It has to be called before Listen or ListenOn.
func (s *Server) SetRequestHandler(h RequestHandler) { s.handler = h }

// ApplySettings sets the settings for requests that are received from now on.
// During a shutdown a shorter LongestDeadline shortens the shutdown schedule.
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

// ListenOn accepts connections from a socket that is already listening.
// The server takes ownership of the descriptor, and closes it if an error is returned.
func (s *Server) ListenOn(fd int) error {
	if err := s.Loop.Add(fd, loop.Readable, s); err != nil {
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
