package upstream

import "salttrack/internal/counter"

// counters has the counters of a Pool.
type counters struct {
	connectionsOpened       *counter.Counter
	connectionsReused       *counter.Counter
	connectionsShed         *counter.Counter // idle connections that were closed to free their descriptor
	connectionsIdleClosed   *counter.Counter // idle connections that were closed at a timeout, endpoint change or shutdown
	connectionsClosedByPeer *counter.Counter // idle connections that the upstream closed or sent unrequested bytes on
	connectFailed           *counter.Counter
	connectTimedOut         *counter.Counter
	noDescriptor            *counter.Counter // attempts that were not sent because no descriptor was free
	localFailures           *counter.Counter // connects that failed with a local error, after which a retry was scheduled
	responsesMalformed      *counter.Counter
	responsesStreamed       *counter.Counter
	extraResponses          *counter.Counter // idle connections that were closed because of unrequested bytes
	streamsStalled          *counter.Counter // streamed requests and responses without progress for stallTimeout
}

// newCounters registers the counters of a pool in a set.
func newCounters(set *counter.Set) counters {
	return counters{
		connectionsOpened:       set.New("upstream_connections_opened"),
		connectionsReused:       set.New("upstream_connections_reused"),
		connectFailed:           set.New("upstream_connect_failed"),
		connectTimedOut:         set.New("upstream_connect_timed_out"),
		connectionsShed:         set.New("upstream_connections_shed"),
		connectionsIdleClosed:   set.New("upstream_connections_idle_closed"),
		connectionsClosedByPeer: set.New("upstream_connections_closed_by_peer"),
		responsesMalformed:      set.New("upstream_responses_malformed"),
		extraResponses:          set.New("upstream_extra_responses"),
		noDescriptor:            set.New("upstream_no_descriptor"),
		localFailures:           set.New("upstream_local_failures"),
		responsesStreamed:       set.New("upstream_responses_streamed"),
		streamsStalled:          set.New("upstream_streams_stalled"),
	}
}
