package node

import (
	"salttrack/internal/bodystream"
	"salttrack/internal/downstream"
	"salttrack/internal/loop"
	"salttrack/internal/memory"
)

// Division of the configured descriptors and memory between the components.
const (
	internalDescriptors    = 20  // descriptors of the loop, listening sockets, discovery, standard streams and Go runtime
	maxOverflowConnections = 32  // client connections that are accepted when all other descriptors are in use
	maxAdminDescriptors    = 64  // descriptors of the admin server, for its listening socket and its connections
	minConnections         = 8   // connections to clients and upstreams that are allowed under any limit
	connectionShare        = 0.5 // share of the account that connections without requests may use
	overflowShare          = 0.2 // the same for overflow connections, if that makes more than maxOverflowConnections
)

// Division of the memory limit. What the process needs before it serves, and what the Go runtime needs for itself later, is subtracted
// first. The rest is the room for what peers make the process hold, for garbage, and for what passes the limit of the runtime for a moment.
const (
	runtimeReserve = 512 << 10 // bytes of metadata of the Go runtime that garbage collection needs under load
	runtimeShare   = 0.75      // share of the room by which the memory of the Go runtime may grow
	accountShare   = 0.35      // share of the room that peers can make the process hold
	minMemoryRoom  = 512 << 10 // bytes; without any, nothing could be served
	bufferShare    = 0.25      // share of the account that buffers of streamed bodies may use
	bytesPerMB     = 1 << 20
)

// Shares of the room that the kernel's buffers for connections may use. They are not all full at the same time: what is in use is compared
// with the limit while the process runs.
const (
	socketShare       = 0.4 // if one direction of each connection is full
	largeReceiveShare = 0.1 // if all large receive buffers are full
	largeSendShare    = 0.1 // if all large send buffers are full
)

// Sizes of the kernel's buffers for each direction of a connection, in bytes.
const (
	minBufferBytes          = 2 << 10  // about the least that the kernel allows
	minOutgoingReceiveBytes = 8 << 10  // a turn of the event loop reads no more than a full buffer of a response
	largeBufferBytes        = 64 << 10 // with less than two segments in flight, a sender waits for delayed acknowledgements
	kernelBufferFactor      = 2        // the kernel doubles the size for its own use
)

// connectionHeapBytes is about the most that a connection makes the heap hold, in bytes: a buffered body. What the heap can't use for lack of
// connections is for the kernel's buffers.
const connectionHeapBytes = 64 << 10

// Divisors of the configured number of descriptors.
// Each quotient is an upper limit: one for the overflow connections, and one for the descriptors of the admin server.
const (
	overflowDivisor = 16
	adminDivisor    = 8
)

// maxHotRestartMemory is the largest share of the memory that a process may use if another one may replace it. Memory that is in use
// can't be given back as fast as another process starts.
const maxHotRestartMemory = 0.5

// limitShares are the shares of the configured limits that a process may use.
type limitShares struct {
	descriptors float64
	memory      float64
}

// sharesWithPeers returns the shares of a process that other processes may replace, and that has a number of live peer processes.
func sharesWithPeers(peers int) limitShares {
	share := 1 / float64(1+peers)
	return limitShares{descriptors: share, memory: min(share, maxHotRestartMemory)}
}

// resources are the limits of the components of a balancer.
type resources struct {
	connections         int // connections to clients and upstreams together
	overflowConnections int // additional client connections, whose requests are rejected unless another descriptor becomes free
	adminDescriptors    int // descriptors of the admin server, 0 if there is none
	bodyBuffers         int // buffers of streamed bodies
	accountBytes        int // memory that peers can make the process hold
	runtimeGrowth       int // bytes by which the memory of the Go runtime may grow after the start
	buffers             loop.BufferSizes
}

// maxAdminConnections returns the maximum number of connections of the admin server. One descriptor is for its listening socket.
func (r resources) maxAdminConnections() int { return r.adminDescriptors - 1 }

// splitResources divides the shares of the configured limits between the components. Of the memory, the process needs a number of
// bytes before it serves.
func (c *Config) splitResources(shares limitShares, baseMemory int) resources {
	descriptors := int(shares.descriptors * float64(c.Limits.Sockets))
	room := max(minMemoryRoom, shares.memory*c.Limits.MemoryMB*bytesPerMB-float64(baseMemory)-runtimeReserve)
	account := accountShare * room
	r := resources{
		overflowConnections: min(maxOverflowConnections, descriptors/overflowDivisor),
		bodyBuffers:         int(bufferShare * account / bodystream.BufferSize),
		accountBytes:        int(account),
		runtimeGrowth:       runtimeReserve + int(runtimeShare*room),
	}
	if c.Admin.IsValid() {
		r.adminDescriptors = min(maxAdminDescriptors, descriptors/adminDivisor)
	}
	r.connections = descriptors - internalDescriptors - r.overflowConnections - r.adminDescriptors
	r.limitByMemory()
	r.limitBuffers(room)
	return r
}

// limitBuffers sets the sizes of the kernel's buffers, of which one direction of a connection is full at a time.
func (r *resources) limitBuffers(room float64) {
	usable := room / kernelBufferFactor
	connections := float64(r.connections + r.overflowConnections)
	spare := room - connections*connectionHeapBytes
	base := int(max(socketShare*room, spare) / kernelBufferFactor / connections)
	base = min(max(base, minBufferBytes), largeBufferBytes)
	r.buffers = loop.BufferSizes{
		Base:            base,
		OutgoingReceive: max(base, minOutgoingReceiveBytes),
		Large:           largeBufferBytes,
		MaxLargeReceive: int(largeReceiveShare * usable / largeBufferBytes),
		MaxLargeSend:    int(largeSendShare * usable / largeBufferBytes),
	}
}

// limitByMemory lowers the number of connections to what the account has memory for. Some of the descriptors that are free then are
// for more overflow connections, so that clients whose requests are rejected for lack of memory need not wait.
func (r *resources) limitByMemory() {
	fitting := r.accountBytes / downstream.ConnectionBytes
	connections := max(minConnections, min(r.connections, int(connectionShare*float64(fitting))))
	spare := r.connections - connections
	r.overflowConnections = max(r.overflowConnections, min(spare, int(overflowShare*float64(fitting))))
	r.connections = connections
}

// applyResources limits the components of the balancer to its share of the configured limits.
func (n *Node) applyResources() {
	r := n.config.splitResources(n.shares, n.baseMemory)
	n.server.OverflowLimit = r.overflowConnections
	if n.admin != nil {
		n.admin.SetMaxConnections(r.maxAdminConnections())
	}
	n.descriptors.SetLimit(r.connections)
	n.bodyBuffers.SetLimit(r.bodyBuffers)
	n.memory.SetLimit(r.accountBytes)
	n.buffers = r.buffers
	n.limitBuffers()
	if n.processMemory != nil {
		n.runtimeGrowth = r.runtimeGrowth
		n.memoryMonitor.runtimeGrowth = r.runtimeGrowth
		n.processMemory.LimitGrowth(r.runtimeGrowth)
		n.memoryMonitor.SetLimit(int(n.shares.memory*n.config.Limits.MemoryMB*bytesPerMB), n.baseMemory)
	}
}

// limitBuffers sets the sizes of the kernel's buffers. While memory is constrained, no more connections get large ones.
func (n *Node) limitBuffers() {
	sizes := n.buffers
	if n.memoryMonitor.Level() != memory.Normal {
		sizes.MaxLargeReceive = 0
		sizes.MaxLargeSend = 0
	}
	n.loop.SetBufferSizes(sizes)
}
