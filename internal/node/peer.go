package node

import (
	"slices"

	"salttrack/balance"
	"salttrack/internal/hotrestart"
	"salttrack/internal/replay"
	"salttrack/internal/timer"
)

const (
	peerPollInterval balance.Millis = 25
	peerSyncTimeout  balance.Millis = 3000 // time that the start waits for the first read of the peers' records and their overrides
)

// peerSync exchanges state with the peer processes, which replace each other in hot restarts.
// It publishes the record of this process and applies the records of the peers.
// It owns the worker, which calls the store on another goroutine than that of the event loop.
type peerSync struct {
	node     *Node
	worker   *hotrestart.Worker
	nextPoll *timer.Timer

	reading bool                    // whether a read of the peers' records is in progress
	synced  bool                    // whether the peers' records have been read at least once
	live    []hotrestart.PeerRecord // records of the live peers at the last read

	record          hotrestart.Record  // state of this process
	unpublished     bool               // whether the stored record differs from the state of this process
	publishing      bool               // whether a record is being stored
	mergedProcesses []string           // exited processes whose overrides are merged into record but not yet into the stored one
	pending         []*pendingOverride // overrides that wait to be stored, the oldest first
}

// EnableHotRestart lets processes of the same balancer replace each other.
// They exchange records through a store, which the balancer owns from then on. EnableHotRestart has to be called before Start.
func (n *Node) EnableHotRestart(store hotrestart.Store) {
	n.peers = &peerSync{
		node:        n,
		worker:      hotrestart.NewWorker(store, n.loop.Post),
		record:      hotrestart.Record{Overrides: map[string]hotrestart.Override{}},
		unpublished: true,
	}
	n.shares = sharesWithPeers(0)
	n.applyResources()
}

// ShareExecutedIDs keeps the ids of requests that must not run again in a memory of replay.Size bytes, which the processes of the
// balancer share. It has to be called before Start.
func (n *Node) ShareExecutedIDs(memory []byte) {
	n.server.ExecutedIDs = replay.New(memory, hotrestart.Uptime)
}

// poll reads the peers' records, publishes the record of this process, and sets the timer of the next poll.
func (p *peerSync) poll() {
	if !p.reading {
		p.reading = true
		p.worker.ReadPeers(p.onPeerRecords)
	}
	p.publish()
	p.nextPoll = p.node.loop.After(peerPollInterval, p.poll)
}

// onPeerRecords applies the peers' records, and publishes the record of this process if they have changed it.
func (p *peerSync) onPeerRecords(peers hotrestart.PeerRecords, err error) {
	p.reading = false
	log := p.node.log
	if err != nil {
		log.WithError(err).Debug("reading hot restart records failed, retrying")
		return
	}
	for _, err := range peers.Unreadable {
		log.WithError(err).Warn("ignoring unreadable hot restart record")
	}
	for _, peer := range slices.Concat(peers.Exited, peers.Live) {
		hotrestart.Merge(p.record.Overrides, peer.Record.Overrides, p.onOverride)
	}
	for _, peer := range peers.Exited {
		if !slices.Contains(p.mergedProcesses, peer.Process) {
			p.mergedProcesses = append(p.mergedProcesses, peer.Process)
			p.unpublished = true
		}
	}
	p.node.memoryMonitor.fileBytes = peers.FileBytes
	p.live = peers.Live
	p.synced = true
	p.splitResources()
	p.publish()
}

// onOverride applies an override that was set in a peer process. An upstream that was enabled recently may still be warming up.
// It is disabled and enabled here, so that its slow start also begins in a process that never saw it disabled.
func (p *peerSync) onOverride(name string, o hotrestart.Override) {
	p.unpublished = true
	n := p.node
	if o.Disabled {
		n.disable(name)
		return
	}
	if o.Age(hotrestart.Uptime()) < n.settings.SlowStartDuration {
		n.driver.Disable(n.registry.Pin(name))
		n.enable(name)
	}
}

// splitResources divides the descriptors and the memory between this process and its live peers.
func (p *peerSync) splitResources() {
	n := p.node
	shares := sharesWithPeers(len(p.live))
	if shares == n.shares {
		return
	}
	n.shares = shares
	n.log.WithField("share", shares.descriptors).WithField("memory_share", shares.memory).Info("share of descriptors and memory changed")
	n.applyResources()
}

// publish stores the oldest pending override. If there is none, it stores the record if that has changed.
// It does nothing while a record is being stored.
func (p *peerSync) publish() {
	n := p.node
	if ready := n.Ready(); ready != p.record.Ready || n.shuttingDown != p.record.ShuttingDown {
		p.record.Ready = ready
		p.record.ShuttingDown = n.shuttingDown
		p.unpublished = true
	}
	switch {
	case p.publishing:
	case len(p.pending) > 0:
		p.publishOverride()
	case p.unpublished:
		p.publishRecord()
	}
}

// publishRecord stores the record. After an error it retries at the next poll.
func (p *peerSync) publishRecord() {
	p.publishing = true
	p.unpublished = false
	merged := p.mergedProcesses
	p.mergedProcesses = nil
	p.worker.Publish(p.record.Clone(), merged, func(err error) {
		p.publishing = false
		if err != nil {
			p.mergedProcesses = append(merged, p.mergedProcesses...)
			p.unpublished = true
			p.node.log.WithError(err).Debug("publishing hot restart record failed, retrying")
			return
		}
		p.publish()
	})
}

// hasSuccessor reports whether a live peer process is ready for requests and is not shutting down.
func (p *peerSync) hasSuccessor() bool {
	return slices.ContainsFunc(p.live, func(peer hotrestart.PeerRecord) bool {
		return peer.Record.Ready && !peer.Record.ShuttingDown
	})
}

// blocksStart reports whether the start of the balancer has to wait for the first read of the peers' records.
func (p *peerSync) blocksStart() bool {
	return !p.synced && p.node.loop.Now() < p.node.started+peerSyncTimeout
}

// close stops the polling and closes the store. It does not wait for calls of the store that are in progress.
func (p *peerSync) close() {
	p.node.loop.Timers.Stop(p.nextPoll)
	p.worker.Close()
}
