// Package driver connects package balance, which makes the load-balancing decisions, to the packages that communicate
// with clients and upstreams. It reports the events of clients, attempts, discovery and operators to a
// balance.Balancer, and executes the Balancer's actions by starting attempts, sending responses and setting timers.
// The driver makes no load-balancing decisions, does no I/O and reads the time from a clock that its user provides.
// All methods must be called on the event loop.
package driver

import (
	"math"

	"salttrack/balance"
	"salttrack/internal/counter"
	"salttrack/internal/exchange"
	"salttrack/internal/memory"
	"salttrack/internal/timer"
	"salttrack/internal/trace"
)

// Upstreams sends attempts to upstreams and cancels them.
type Upstreams interface {
	// Start sends an attempt. The end of the attempt is reported by Driver.AttemptEnded, possibly before Start returns.
	Start(*exchange.Attempt)
	// Cancel aborts an attempt and closes its connection. The end of the attempt is not reported.
	Cancel(*exchange.Attempt)
	// StreamResponse starts to stream the response of an attempt to the client, although it may turn out to be short. It
	// reports whether it did: only a response of unknown length that the upstream is still sending is streamed.
	StreamResponse(*exchange.Attempt) bool
	// CancelUnsent ends the attempts that are waiting for a connection to an upstream, reports them with the outcome
	// balance.NotSent, and closes the idle connections to that upstream.
	CancelUnsent(balance.UpstreamID)
}

// exchangeBytes is about the memory of an exchange in bytes: its state here and in package balance, one attempt, and their timers.
const exchangeBytes = 2 << 10

// Options holds the configuration and the dependencies of a Driver.
type Options struct {
	Config    balance.Config
	Seed      uint64                // of the Balancer's random number generator
	Now       func() balance.Millis // returns the time of a monotonic clock, in ms
	Timers    *timer.Heap           // timers of the event loop, by the same clock as Now
	Upstreams Upstreams
	Memory    *memory.Account // counts the exchanges; nil for no limit
	Counters  *counter.Set
	Trace     *trace.Tracer // writes trace events of requests; nil disables tracing
}

// Driver runs one Balancer and manages the exchanges in progress and their timers.
type Driver struct {
	now       func() balance.Millis
	timers    *timer.Heap
	upstreams Upstreams
	memory    *memory.Account
	tracer    *trace.Tracer
	counters  counters

	balancer       *balance.Balancer
	balancerTimers int                         // number of pending timers that the Balancer has set
	executing      bool                        // whether executeActions is running
	classes        []balance.Class             // of the current settings, indexed by class number
	ready          map[balance.UpstreamID]bool // upstreams that the endpoint list says are ready
	disabled       map[balance.UpstreamID]bool // upstreams that operators have disabled

	exchanges       map[balance.RequestID]*exchange.Exchange // exchanges in progress or with attempts in flight
	lastRequestID   balance.RequestID                        // the id that was assigned last
	attemptTimeouts map[*exchange.Attempt]*timer.Timer       // timeouts of attempts in flight

	shutdownDeadline balance.Millis // time by which every exchange has to end; infinite unless a shutdown has set it
	shutdownTimer    *timer.Timer   // calls endAllExchanges at shutdownDeadline; nil unless a shutdown has set it
}

// New returns a driver with a new Balancer.
// Start must be called before the driver is used, and Close when it is no longer used.
func New(o Options) *Driver {
	d := &Driver{
		now:              o.Now,
		timers:           o.Timers,
		upstreams:        o.Upstreams,
		memory:           o.Memory,
		tracer:           o.Trace,
		classes:          o.Config.Classes,
		ready:            map[balance.UpstreamID]bool{},
		disabled:         map[balance.UpstreamID]bool{},
		exchanges:        map[balance.RequestID]*exchange.Exchange{},
		attemptTimeouts:  map[*exchange.Attempt]*timer.Timer{},
		shutdownDeadline: math.Inf(1),
	}
	d.counters = newCounters(o.Counters, d.InProgress)
	d.balancer = balance.New(o.Config, o.Seed, o.Now())
	return d
}

// Start executes the actions that the Balancer requested when it was created.
func (d *Driver) Start() { d.executeActions() }

// Close stops the timer that SetShutdownDeadline has set, if there is one.
func (d *Driver) Close() { d.timers.Stop(d.shutdownTimer) }

// ApplySettings replaces the settings. Exchanges in progress keep the class settings that they started with.
func (d *Driver) ApplySettings(config *balance.Config) {
	d.classes = config.Classes
	d.balancer.OnSettings(d.now(), config)
	d.executeActions()
}

// ClassInUse reports whether any exchange of a class is in progress or has attempts in flight.
func (d *Driver) ClassInUse(class uint8) bool {
	for _, x := range d.exchanges {
		if x.Class == class {
			return true
		}
	}
	return false
}

// InProgress returns the number of exchanges that have not ended.
func (d *Driver) InProgress() int { return d.Counts().InProgress() }

// Exchanges returns the number of exchanges that are in progress or have attempts in flight.
func (d *Driver) Exchanges() int { return len(d.exchanges) }

// AttemptsInFlight returns the number of attempts in flight that have a timeout.
// An attempt whose response is being streamed to the client has none and is not counted.
func (d *Driver) AttemptsInFlight() int { return len(d.attemptTimeouts) }

// PendingTimers returns the number of pending timers that the Balancer has set.
func (d *Driver) PendingTimers() int { return d.balancerTimers }
