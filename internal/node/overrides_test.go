package node

import (
	"errors"
	"sync"
	"testing"

	"golang.org/x/sys/unix"

	"salttrack/internal/hotrestart"
)

// fakeStore is a hotrestart.Store in memory. A test can make its Publish fail or block.
type fakeStore struct {
	mu        sync.Mutex
	published hotrestart.Record
	err       error                  // error that Publish returns
	block     chan struct{}          // if not nil, Publish blocks until the channel is closed
	peers     hotrestart.PeerRecords // result of Peers
}

func (s *fakeStore) Publish(r hotrestart.Record, _ []string) error {
	s.mu.Lock()
	block := s.block
	s.mu.Unlock()
	if block != nil {
		<-block
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.published = r
	}
	return s.err
}

func (s *fakeStore) Peers() (hotrestart.PeerRecords, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peers, nil
}

func (s *fakeStore) Close() {}

// configure runs a function that changes fields of the store, under its mutex.
func (s *fakeStore) configure(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// isDisabled reports whether the stored record disables an upstream.
func (s *fakeStore) isDisabled(upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.published.Overrides[upstream].Disabled
}

// newHotRestartBalancer returns a running balancer with hot restart enabled.
func newHotRestartBalancer(t *testing.T, store *fakeStore) *runningBalancer {
	t.Helper()
	r := newBalancer(t, endpoint("127.0.0.1:1", "in_service"))
	r.Do(func() {
		r.node.EnableHotRestart(store)
		r.start()
	})
	watch, _ := r.acceptWatch()
	sendSnapshot(watch, endpoint("127.0.0.1:1", "in_service"))
	r.dialWhenListening().Close()
	t.Cleanup(func() {
		r.Do(func() { r.node.Shutdown(r.Loop.Now(), func() {}) })
		r.close()
	})
	return r
}

// disable disables upstream s-1, and returns a channel of the results that the balancer reports.
func (r *runningBalancer) disable() <-chan error {
	results := make(chan error, 2)
	r.Do(func() { r.node.SetDisabled("s-1", true, func(err error) { results <- err }) })
	return results
}

// An override succeeds once it is stored. If storing fails, it fails with the store's error and is not in force.
func TestOverrideIsStored(t *testing.T) {
	store := &fakeStore{}
	r := newHotRestartBalancer(t, store)
	full := &hotrestart.StorageError{Err: unix.ENOSPC}
	store.configure(func() { store.err = full })
	if err := <-r.disable(); !errors.Is(err, unix.ENOSPC) || store.isDisabled("s-1") {
		t.Errorf("override on a full disk: error %v, want ENOSPC; stored %v", err, store.isDisabled("s-1"))
	}
	store.configure(func() { store.err = nil })
	if err := <-r.disable(); err != nil || !store.isDisabled("s-1") {
		t.Errorf("override: error %v, stored %v", err, store.isDisabled("s-1"))
	}
}

// An override that is not stored in time fails once, with the error text that operators' scripts expect.
func TestOverrideTimeout(t *testing.T) {
	t.Parallel()
	store := &fakeStore{}
	r := newHotRestartBalancer(t, store)
	block := make(chan struct{})
	store.configure(func() { store.block = block })
	results := r.disable()
	err := <-results // the timeout passes in real time, since AdvanceTimers stops at the timer of the next poll
	if !errors.Is(err, ErrOverrideTimeout) || err.Error() != "the folder of orders does not answer: the order is carried out only if it does" {
		t.Errorf("override with a blocked store: error %v", err)
	}
	close(block)
	r.waitUntil("the override is stored", func() bool { return store.isDisabled("s-1") })
	r.Do(func() {})
	select {
	case err := <-results:
		t.Errorf("a second result is reported: %v", err)
	default:
	}
}

// While a peer process is live, resources are split with it, and its overrides are in force in this process.
func TestPeerRecords(t *testing.T) {
	store := &fakeStore{}
	r := newHotRestartBalancer(t, store)
	splitting := func() (s bool) {
		r.Do(func() { s = r.node.shares.descriptors < 1 })
		return s
	}
	if splitting() {
		t.Error("resources are split without a peer")
	}
	store.configure(func() {
		record := hotrestart.Record{Ready: true, Overrides: map[string]hotrestart.Override{"s-1": {Disabled: true, SetAt: 5}}}
		store.peers.Live = []hotrestart.PeerRecord{{Process: "p1", Record: record}}
	})
	r.waitUntil("the peer's record is applied", func() bool { return splitting() && store.isDisabled("s-1") })
	r.Do(func() {
		if !r.node.peers.hasSuccessor() {
			t.Error("the ready peer does not count as a successor")
		}
	})
	store.configure(func() { store.peers.Live = nil })
	r.waitUntil("the resources are no longer split", func() bool { return !splitting() })
}
