package hotrestart

// maxQueuedCalls is the capacity of a worker's queue. The user of a worker has at most one ReadPeers and one Publish in progress.
const maxQueuedCalls = 8

// Worker calls the methods of a Store on its own goroutine, one after the other, so that a slow disk does not block the event loop.
// It passes the results to callbacks on the event loop. Its methods have to be called on the event loop.
type Worker struct {
	store Store
	post  func(func())
	calls chan func()
}

// NewWorker returns a worker for a store, and starts its goroutine, which runs until Close. The worker owns the store.
// The function post runs a function on the event loop.
func NewWorker(store Store, post func(func())) *Worker {
	w := &Worker{store: store, post: post, calls: make(chan func(), maxQueuedCalls)}
	go w.run()
	return w
}

// run executes the queued calls until the queue is closed.
func (w *Worker) run() {
	for call := range w.calls {
		call()
	}
}

// ReadPeers reads the records of the other processes, and calls done with the result.
func (w *Worker) ReadPeers(done func(PeerRecords, error)) {
	w.calls <- func() {
		peers, err := w.store.Peers()
		w.post(func() { done(peers, err) })
	}
}

// Publish publishes a record, and calls done with the result. The caller must not change the record after the call.
func (w *Worker) Publish(r Record, merged []string, done func(error)) {
	w.calls <- func() {
		err := w.store.Publish(r, merged)
		w.post(func() { done(err) })
	}
}

// Close makes the worker close the store after the queued calls. It returns without waiting for them.
func (w *Worker) Close() {
	w.calls <- w.store.Close
	close(w.calls)
}
