package discovery

import (
	"net/netip"

	"github.com/sirupsen/logrus"

	"salttrack/internal/counter"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
)

// Options configures a Watcher.
type Options struct {
	Loop     *loop.Loop
	Address  netip.AddrPort // of the discovery service
	Counters *counter.Set
	Memory   *memory.Account // counts messages that are being received; nil for no limit
	OnUpdate func(*Update)   // called for each update, in the order of receipt
	Log      logrus.FieldLogger
}

// counters are shared by all subscriptions of a Watcher.
type counters struct {
	requests       *counter.Counter // streaming requests, including those whose connect fails
	updates        *counter.Counter // updates that were applied
	keepalives     *counter.Counter // keepalives that were received
	malformed      *counter.Counter // streams that were closed because of a malformed response, or a body with a status other than 200
	implausible    *counter.Counter // streams that were closed because of a stale update or an empty snapshot
	timeouts       *counter.Counter // streams that received no message in time
	failures       *counter.Counter // failed connects, failed streams and timeouts
	addressChanges *counter.Counter // changes of the service's address
}

func newCounters(set *counter.Set) counters {
	return counters{
		requests:       set.New("watch_requests"),
		updates:        set.New("watch_updates"),
		keepalives:     set.New("watch_keepalives"),
		malformed:      set.New("watch_malformed"),
		implausible:    set.New("watch_implausible"),
		timeouts:       set.New("watch_timeouts"),
		failures:       set.New("watch_failures"),
		addressChanges: set.New("watch_address_changes"),
	}
}

// Watcher watches the endpoint list at the address of the discovery service, which may change. All methods are called
// on the event loop.
type Watcher struct {
	options  Options
	counters counters
	current  *subscription
	next     *subscription // for a changed address, until its first update; nil if the address was not changed
}

// NewWatcher returns a watcher that does nothing before Start is called. It owns its connections and timers until Stop
// is called.
func NewWatcher(o Options) *Watcher {
	w := &Watcher{options: o, counters: newCounters(o.Counters)}
	w.current = newSubscription(o, &w.counters)
	return w
}

// Start starts watching the endpoint list.
func (w *Watcher) Start() { w.current.openStream() }

// Stop closes all connections and stops all timers.
func (w *Watcher) Stop() {
	w.current.stop()
	w.stopNext()
}

// Synced reports whether an update or a keepalive of the discovery service was received since the start.
func (w *Watcher) Synced() bool { return w.current.synced }

// SetAddress changes the address of the discovery service. Revisions of different services are not comparable, so the
// subscription at the new address starts with a snapshot. The current subscription continues until the first update
// from the new address, so that a wrong address does not stop updates. Setting the same address again has no effect.
// Setting the address of the current subscription cancels a change that has not received its first update.
func (w *Watcher) SetAddress(address netip.AddrPort) {
	if w.next != nil && w.next.options.Address == address {
		return
	}
	if w.current.options.Address == address { // changed back before the first update from the other address
		w.stopNext()
		return
	}
	w.stopNext()
	w.counters.addressChanges.Inc()
	options := w.options
	options.Address = address
	next := newSubscription(options, &w.counters)
	next.options.OnUpdate = func(u *Update) {
		if w.next == next {
			w.current.stop()
			w.current = next
			w.next = nil
		}
		w.options.OnUpdate(u)
	}
	w.next = next
	next.openStream()
}

// stopNext stops the subscription at the new address if it has not received its first update.
func (w *Watcher) stopNext() {
	if w.next != nil {
		w.next.stop()
		w.next = nil
	}
}
