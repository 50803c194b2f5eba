package fake

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"salttrack/internal/http1"
	"salttrack/internal/timer"
)

// keepAliveInterval is the time in ms between two keepalives on a watch. A keepalive is an empty line.
const keepAliveInterval = 2000.0

// noRevision is the revision of a watch whose request has no revision. Such a watch gets the complete endpoint list.
const noRevision = -1

const (
	watchResponseHead = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
	keepAliveChunk    = "1\r\n\n\r\n"
)

// watch is one connection on which an agent sends endpoint updates. It owns its timer, which stops when the connection
// closes.
type watch struct {
	agent           *Agent
	watcher         string // name of the process that opened the connection, or of the agent's balancer if not known
	conn            *conn
	decoder         *http1.RequestDecoder
	revision        int             // revision that was sent last; initially the one in the request, or noRevision
	requested       bool            // the request was received
	responseStarted bool            // the head of the response was sent
	unrecorded      []Endpoint      // updates that are sent and not recorded, as the kernel has not accepted all data yet
	sent            map[string]bool // IDs of endpoints in recorded updates, except for terminated endpoints
	keepAlive       *timer.Timer
}

func newWatch(a *Agent, c *conn) *watch {
	w := &watch{agent: a, conn: c, decoder: http1.NewRequestDecoder(), sent: map[string]bool{}, watcher: a.Host.PeerName(c.fd)}
	if w.watcher == "" {
		w.watcher = a.Balancer
	}
	c.onData = w.onData
	c.onClosed = func(error) { w.onClosed() }
	return w
}

func (w *watch) onClosed() {
	w.agent.Host.Loop().Timers.Stop(w.keepAlive)
	w.agent.removeWatch(w)
}

// onData decodes the request and sends the first message unless the agent is muted. Data after the request is ignored.
func (w *watch) onData(data []byte) {
	if w.requested {
		return
	}
	if _, err := w.decoder.Feed(data); err != nil || !w.decoder.Complete() {
		return
	}
	w.requested = true
	w.revision = requestedRevision(w.decoder.Request().Target)
	if !w.agent.Muted {
		w.publish()
	}
}

// requestedRevision returns the revision in the target of a request, noRevision if the target has none.
// A value that is not a number counts as 0.
func requestedRevision(target string) int {
	revision := noRevision
	_, query, _ := strings.Cut(target, "?")
	for parameter := range strings.SplitSeq(query, "&") {
		if value, ok := strings.CutPrefix(parameter, "since="); ok {
			revision, _ = strconv.Atoi(value)
		}
	}
	return revision
}

// scheduleKeepAlive sends keepalives at keepAliveInterval, except while the agent is muted.
func (w *watch) scheduleKeepAlive() {
	w.keepAlive = w.agent.Host.Loop().After(keepAliveInterval, func() {
		if !w.agent.Muted {
			w.conn.send([]byte(keepAliveChunk))
		}
		w.scheduleKeepAlive()
	})
}

// publish sends the endpoints that have changed since the last message, if any. It sends the complete list on a watch
// without a revision, and on one with a later revision than the agent's. At revision 0 it sends all endpoints that are
// not terminated, in a message that is not marked as complete.
func (w *watch) publish() {
	if !w.requested || w.conn.closed {
		return
	}
	w.startResponse()
	m := message{Revision: w.agent.revision, Complete: w.revision < 0 || w.revision > w.agent.revision}
	if m.Complete || w.revision == 0 {
		m.Members = w.agent.snapshot()
	} else {
		m.Members = w.agent.changesSince(w.revision)
	}
	if !m.Complete && len(m.Members) == 0 {
		return
	}
	w.revision = w.agent.revision
	w.sendMessage(m)
	if w.agent.DuplicateUpdates {
		w.sendMessage(m)
	}
}

// startResponse sends the head of the response, once, and schedules keepalives.
func (w *watch) startResponse() {
	if w.responseStarted {
		return
	}
	w.responseStarted = true
	w.conn.send([]byte(watchResponseHead))
	w.scheduleKeepAlive()
}

// sendMessage sends a message, and records its updates once the kernel has accepted it.
func (w *watch) sendMessage(m message) {
	if m.Complete {
		w.unrecorded = append(w.unrecorded, w.removedEndpoints(m)...)
	}
	w.unrecorded = append(w.unrecorded, m.Members...)
	w.conn.onFlushed = w.recordSent
	text := append(encodeMessage(m), '\n')
	w.conn.send(fmt.Appendf(nil, "%x\r\n%s\r\n", len(text), text))
}

// removedEndpoints returns the endpoints that were sent before and are missing in a complete list, in phase Terminated.
func (w *watch) removedEndpoints(m message) []Endpoint {
	listed := map[string]bool{}
	for _, endpoint := range m.Members {
		listed[endpoint.ID] = true
	}
	var removed []Endpoint
	for _, id := range slices.Sorted(maps.Keys(w.sent)) {
		if !listed[id] {
			removed = append(removed, Endpoint{ID: id, Phase: Terminated})
		}
	}
	return removed
}

// recordSent records the updates that were sent since its last call. It is called when the kernel has accepted all data.
func (w *watch) recordSent() {
	now := w.agent.Host.Loop().Now()
	for _, endpoint := range w.unrecorded {
		if endpoint.Phase == Terminated {
			delete(w.sent, endpoint.ID)
		} else {
			w.sent[endpoint.ID] = true
		}
		w.agent.Recorder.EndpointUpdateSent(EndpointUpdate{
			Balancer:  w.watcher,
			Upstream:  endpoint.ID,
			Phase:     endpoint.Phase,
			StartedAt: endpoint.StartedAt,
			At:        now,
		})
	}
	w.unrecorded = nil
}
