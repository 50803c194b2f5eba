package node

import (
	"salttrack/balance"
	"salttrack/internal/memory"
)

// memoryLogInterval is the shortest time between two log lines about the memory, in ms.
const memoryLogInterval balance.Millis = 1000

// endpointBytes is about the memory of an endpoint in all components, in bytes.
const endpointBytes = 1 << 10

// ProcessMemory measures and limits the memory of the process.
type ProcessMemory interface {
	// Baseline returns the resident memory without garbage in bytes, 0 if it is not known.
	Baseline() int
	// Resident returns the resident memory in bytes, 0 if it is not known. It is called several times a second.
	Resident() int
	// RuntimeGrowth returns the bytes by which the Go runtime has grown since the last call of Baseline.
	RuntimeGrowth() int
	// ReleaseGarbage starts to return garbage to the operating system, and does not wait for the end.
	ReleaseGarbage()
	// ReleaseStartPages gives back memory that only the start of the program needs, as far as possible.
	ReleaseStartPages()
	// LimitGrowth limits the memory by which the process may grow after the last call of Baseline, in bytes. It is a soft limit.
	LimitGrowth(bytes int)
}

// LimitProcessMemory makes the balancer limit the memory of its process. It has to be called before Start.
func (n *Node) LimitProcessMemory(m ProcessMemory) {
	n.processMemory = m
	n.measureBaseMemory()
}

// measureBaseMemory divides the memory that the process does not need before it serves clients.
func (n *Node) measureBaseMemory() {
	if n.processMemory == nil {
		return
	}
	n.baseMemory = n.processMemory.Baseline()
	n.baseEndpoints = n.registry.Listed()
	n.applyResources()
	n.countEndpoints()
}

// countEndpoints counts the endpoints that were listed since the memory of the process was measured. They never use up more than half of
// the account, as the balancer has to serve with any list.
func (n *Node) countEndpoints() {
	added := max(0, n.registry.Listed()-n.baseEndpoints)
	counted := min(added*endpointBytes, n.memory.Limit()/2)
	n.memory.Add(memory.Endpoints, counted-n.memory.Used(memory.Endpoints))
}

// finishMemoryStart divides the memory again, now that the endpoint list is known. What is given back after the measurement is a
// reserve.
func (n *Node) finishMemoryStart() {
	n.measureBaseMemory()
	if n.processMemory != nil {
		n.processMemory.ReleaseStartPages()
	}
}

// registerMemoryGauges adds the gauges of the memory account.
func (n *Node) registerMemoryGauges() {
	n.Counters.Gauge("buffered_bytes", func() uint64 {
		return uint64(n.memory.Used(memory.Bodies) + n.memory.Used(memory.ReadAhead))
	})
	n.memoryMonitor.registerGauges()
	n.Counters.Gauge("memory_limit_bytes", func() uint64 { return uint64(n.memory.Limit()) })
	n.Counters.Gauge("memory_bytes", func() uint64 { return uint64(n.memory.Total()) })
	for _, kind := range memory.Kinds() {
		n.Counters.Gauge("memory_"+kind.String()+"_bytes", func() uint64 { return uint64(n.memory.Used(kind)) })
	}
}

// logMemory logs what the memory of the account is used for. A process that is killed for its memory logs no counters.
func (n *Node) logMemory() {
	now := n.loop.Now()
	if now < n.nextMemoryLog {
		return
	}
	n.nextMemoryLog = now + memoryLogInterval
	n.log.WithField("memory", n.memory.String()).Warn("memory for peers used up, rejecting requests")
}
