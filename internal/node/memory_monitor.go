package node

import (
	"github.com/sirupsen/logrus"

	"salttrack/balance"
	"salttrack/internal/memory"
	"salttrack/internal/timer"
)

// Time in ms between two comparisons of the memory of the process with its limit.
const (
	memoryCheckInterval      balance.Millis = 250
	memoryCheckUnderPressure balance.Millis = 25 // at any level but normal, and while a quarter of the account is in use
)

// releaseIntervals are the shortest times in ms between two calls of ProcessMemory.ReleaseGarbage, by level.
var releaseIntervals = map[memory.Level]balance.Millis{memory.Constrained: 1000, memory.Rejecting: 100, memory.Shedding: 25}

// descriptorKernelBytes is about the memory of the kernel for a connection beside its buffers, in bytes: its file, inode and watch.
const descriptorKernelBytes = 3 << 9

// Shares of the room in the limit of the Go runtime.
const (
	totalShare      = 0.85      // up to which the Go runtime may grow beside all else
	minRuntimeShare = 0.15      // that it always may use; with less it would collect garbage without a pause
	minLimitChange  = 256 << 10 // bytes; smaller changes of the limit are not applied
)

// memoryMonitor compares all that a platform may count with the memory limit, while the process runs.
type memoryMonitor struct {
	memory.Monitor
	node          *Node
	nextCheck     *timer.Timer   // nil if the memory of the process is not limited
	lastRelease   balance.Millis // time of the last call of ReleaseGarbage
	runtimeGrowth int            // bytes by which the Go runtime may grow, at the last call of ProcessMemory.LimitGrowth
	nextLog       balance.Millis
	loggedLevel   memory.Level
	fileBytes     int // size of the files of a hot restart
}

// start begins to compare, if the memory of the process is limited.
func (m *memoryMonitor) start() {
	if m.node.processMemory != nil {
		m.check()
	}
}

// stop ends the comparisons.
func (m *memoryMonitor) stop() {
	m.node.loop.Timers.Stop(m.nextCheck)
}

// check compares once, acts on the result, and sets the timer of the next comparison.
func (m *memoryMonitor) check() {
	changed := m.Observe(m.current())
	m.node.memory.SetPressure(m.Pressure())
	m.limitRuntime()
	if changed {
		m.logLevel()
		m.node.limitBuffers()
	}
	m.releaseGarbage()
	switch m.Level() {
	case memory.Rejecting:
		m.node.server.RejectIncompleteRequests(m.Excess())
	case memory.Shedding:
		m.node.server.CloseStalledClients(m.Excess())
	}
	m.node.loop.Timers.Stop(m.nextCheck)
	interval := memoryCheckInterval
	if m.Level() != memory.Normal || m.node.memory.Full(memory.ReadAhead) {
		interval = memoryCheckUnderPressure
	}
	m.nextCheck = m.node.loop.After(interval, m.check)
}

// limitRuntime lowers the memory by which the Go runtime may grow by what else has grown since the start, beyond its part of the room.
func (m *memoryMonitor) limitRuntime() {
	n := m.node
	usage := m.Usage()
	other := max(0, usage.Resident-n.baseMemory-n.processMemory.RuntimeGrowth()) + usage.Sockets + usage.Files
	room := max(minMemoryRoom, m.Limit()-n.baseMemory)
	allowed := min(n.runtimeGrowth, max(int(totalShare*float64(room))-other, int(minRuntimeShare*float64(room))+runtimeReserve))
	if change := allowed - m.runtimeGrowth; change < -minLimitChange || change > minLimitChange || allowed == n.runtimeGrowth && change != 0 {
		m.runtimeGrowth = allowed
		n.processMemory.LimitGrowth(allowed)
	}
}

// releaseGarbage makes the process return garbage to the operating system, unless memory is not constrained or it did so just before.
func (m *memoryMonitor) releaseGarbage() {
	interval, constrained := releaseIntervals[m.Level()]
	if now := m.node.loop.Now(); constrained && now-m.lastRelease >= interval {
		m.lastRelease = now
		m.node.processMemory.ReleaseGarbage()
	}
}

// current returns what is in use now.
func (m *memoryMonitor) current() memory.Usage {
	n := m.node
	return memory.Usage{
		Resident: n.processMemory.Resident(),
		Sockets:  n.loop.BufferedBytesOfAll() + n.descriptors.InUse()*descriptorKernelBytes,
		Files:    m.fileBytes,
	}
}

// logLevel logs a change of the level, so that the log of a process that is killed tells what its memory was used for. A level that
// changes often is logged at each new high, and otherwise once in memoryLogInterval.
func (m *memoryMonitor) logLevel() {
	level, now := m.Level(), m.node.loop.Now()
	if now < m.nextLog && level <= m.loggedLevel {
		return
	}
	m.nextLog = now + memoryLogInterval
	m.loggedLevel = level
	severity := logrus.WarnLevel
	if level == memory.Normal {
		severity = logrus.InfoLevel
	}
	m.node.log.WithFields(logrus.Fields{
		"level":   level.String(),
		"limit":   m.Limit(),
		"process": m.Usage().String(),
		"peers":   m.node.memory.String(),
	}).Log(severity, "memory level changed")
}

// registerGauges adds the gauges of the memory of the process, as of the last comparison.
func (m *memoryMonitor) registerGauges() {
	gauge := func(name string, value func() int) {
		m.node.Counters.Gauge(name, func() uint64 { return uint64(max(0, value())) })
	}
	gauge("process_memory_bytes", func() int { return m.Usage().Total() })
	gauge("process_memory_limit_bytes", m.Limit)
	gauge("process_memory_level", func() int { return int(m.Level()) })
	gauge("process_resident_bytes", func() int { return m.Usage().Resident })
	gauge("process_socket_bytes", func() int { return m.Usage().Sockets })
	gauge("process_file_bytes", func() int { return m.Usage().Files })
}
