package discovery

import (
	"fmt"

	"salttrack/balance"
	"salttrack/internal/timer"
)

// The protocol requires that an update is applied within 6 s after the discovery service becomes reachable again or a
// stream stops sending, and within 4 s after a change of the service's address. The timeouts leave enough of this time
// to detect the failure, to wait until a first new request has timed out, and to get a response to a second one.
const (
	messageTimeout            = 3000.0 // ms without an update or a keepalive; the service sends a keepalive every 2 s
	minFirstMessageTimeout    = 1000.0 // ms; initial timeout for the first message of a stream that asks for a snapshot
	maxFirstMessageTimeout    = 2000.0 // ms; longest timeout for the first message of a stream that asks for a snapshot
	firstMessageTimeoutFactor = 1.5    // growth of the first message timeout with each consecutive stream without a message
	minBackoff                = 100.0  // ms; delay of the first retry after a failure
	maxBackoff                = 1000.0 // ms; longest delay of a retry
	backoffFactor             = 2.0    // growth of the retry delay with each consecutive failure
	minStreamInterval         = 100.0  // ms from the start of a stream that the service answered to the start of the next one
	maxStreams                = 2      // streams open at the same time: the newest, and one that timed out before it
	readBufferBytes           = 16 << 10
)

// subscription watches the endpoint list at one address, normally with one stream. It owns its streams and its retry
// timer until stop is called.
//
// The first stream asks for a snapshot, and so does each stream after a timeout or an implausible update. The service
// sends a snapshot at once. A stream that resumes after a revision would receive nothing for 2 s if no endpoint changes,
// so that a working service could not be distinguished from one that hangs.
//
// A stream that timed out stays open until the next stream receives a message, so that updates are received whichever
// of the two streams the service sends them on. While no stream receives messages, the last endpoint list stays in
// effect.
//
// The end of a stream that the service answered may stand for an update: what the service knows counts as notified, also
// while no stream is open. The next stream is therefore opened without a backoff. Streams that were not answered, or whose
// first message was wrong, are retried with a backoff.
type subscription struct {
	options  Options
	counters *counters

	resumeRevision      uint64         // a new stream resumes after this revision, or asks for a snapshot if it is 0
	lastRevision        uint64         // of the last update that was applied, from any stream
	acceptAnySnapshot   bool           // an update was implausible, so the snapshot of the next stream is applied
	synced              bool           // an update or a keepalive was received since the start
	failureLogged       bool           // the first of the current consecutive failures was logged
	firstMessageTimeout balance.Millis // for the next stream that asks for a snapshot

	streams    []*stream      // open streams, the newest last
	retryTimer *timer.Timer   // nil if no retry is scheduled
	backoff    balance.Millis // delay of the next retry
	readBuffer []byte         // shared by the streams, valid during one read
}

// newSubscription returns a subscription that has no stream yet.
func newSubscription(o Options, c *counters) *subscription {
	return &subscription{
		options:             o,
		counters:            c,
		backoff:             minBackoff,
		firstMessageTimeout: minFirstMessageTimeout,
		readBuffer:          make([]byte, readBufferBytes),
	}
}

// openStream opens a new stream. If that fails, it schedules a retry.
func (s *subscription) openStream() {
	s.stopRetryTimer()
	for len(s.streams) >= maxStreams {
		s.streams[0].close()
	}
	s.counters.requests.Inc()
	stream, err := connectStream(s)
	if err != nil {
		s.recordFailure(err)
		s.scheduleRetry()
		return
	}
	s.streams = append(s.streams, stream)
	stream.start()
}

// scheduleRetry schedules the next stream after the backoff, unless a retry is scheduled already.
func (s *subscription) scheduleRetry() {
	if s.retryTimer != nil {
		return
	}
	s.retryTimer = s.options.Loop.After(s.backoff, s.openStream)
	s.backoff = min(maxBackoff, backoffFactor*s.backoff)
}

// scheduleReopen schedules the next stream after one that the service answered, at once if that one was open for
// minStreamInterval. It replaces a scheduled retry and resets the backoff.
func (s *subscription) scheduleReopen(answered *stream) {
	s.stopRetryTimer()
	s.backoff = minBackoff
	elapsed := s.options.Loop.Now() - answered.openedAt
	s.retryTimer = s.options.Loop.After(max(0, minStreamInterval-elapsed), s.openStream)
}

func (s *subscription) stopRetryTimer() {
	s.options.Loop.Timers.Stop(s.retryTimer)
	s.retryTimer = nil
}

// recordFailure counts a failure. It logs only the first of consecutive failures.
func (s *subscription) recordFailure(err error) {
	s.counters.failures.Inc()
	if s.failureLogged {
		return
	}
	s.failureLogged = true
	s.options.Log.WithError(err).WithField("address", s.options.Address.String()).
		Warn("discovery watch failed, retrying; the last endpoint list stays in force")
}

// onTimeout opens a new stream in addition to one that timed out.
func (s *subscription) onTimeout(timedOut *stream) {
	s.resumeRevision = 0
	if !timedOut.responsive {
		s.firstMessageTimeout = min(maxFirstMessageTimeout, firstMessageTimeoutFactor*s.firstMessageTimeout)
	}
	s.counters.timeouts.Inc()
	s.recordFailure(&ProtocolError{Violation: StreamTimedOut})
	s.openStream()
}

// onStreamFailed closes a stream that failed. If it is the newest stream, it schedules the next one.
func (s *subscription) onStreamFailed(failed *stream, err error) {
	newest := s.streams[len(s.streams)-1] == failed
	failed.close()
	s.recordFailure(err)
	switch {
	case !newest:
	case failed.answered(err):
		s.scheduleReopen(failed)
	default:
		s.scheduleRetry()
	}
}

// onLiveness records that an update or a keepalive was received on a stream. If the stream has not timed out, the
// streams that were opened before it are closed. If it has, it may have missed updates, so the newer stream stays open.
func (s *subscription) onLiveness(from *stream) {
	s.synced = true
	from.responsive = true
	if from.timedOut {
		return
	}
	s.failureLogged = false
	s.firstMessageTimeout = minFirstMessageTimeout
	for len(s.streams) > 0 && s.streams[0] != from {
		s.streams[0].close()
	}
	from.restartTimeout(messageTimeout)
}

// onUpdate applies an update. It does not apply an implausible one, which is a stale update or a snapshot without
// endpoints, and the stream fails. If the snapshot of the next stream is implausible too, it is taken for the true
// state and applied: the service has no endpoints, or its revisions have restarted at a lower number.
func (s *subscription) onUpdate(from *stream, u *Update) error {
	if !(from.acceptAnySnapshot && u.Snapshot) {
		if err := s.checkPlausible(u); err != nil {
			s.resumeRevision = 0
			s.acceptAnySnapshot = true
			return err
		}
	}
	from.acceptAnySnapshot = false
	s.acceptAnySnapshot = false
	s.counters.updates.Inc()
	s.lastRevision = u.Revision
	if !from.timedOut { // one that timed out may have missed earlier updates, so a new stream still has to get them
		s.resumeRevision = u.Revision
	}
	s.onLiveness(from)
	s.options.OnUpdate(u)
	return nil
}

// checkPlausible returns a *ProtocolError for a snapshot without endpoints and for an update with an older revision
// than the last one.
func (s *subscription) checkPlausible(u *Update) error {
	if u.Snapshot && len(u.Endpoints) == 0 {
		return &ProtocolError{Violation: EmptySnapshot}
	}
	if u.Revision < s.lastRevision {
		return &ProtocolError{
			Violation: StaleUpdate,
			Detail:    fmt.Sprintf("revision %d after %d", u.Revision, s.lastRevision),
		}
	}
	return nil
}

// stop closes all streams and stops the retry timer.
func (s *subscription) stop() {
	s.stopRetryTimer()
	for len(s.streams) > 0 {
		s.streams[0].close()
	}
}
