// Package memory accounts for the memory that peers can make the process hold: clients, upstreams, discovery and operators. It does no I/O.
package memory

import (
	"fmt"
	"math"
)

// Kind is what memory is used for.
type Kind uint8

// The kinds of memory.
const (
	ReadAhead   Kind = iota // bytes that were received behind a request
	Bodies                  // bodies that are buffered as a whole, and the received part of streamed ones
	Streams                 // buffers of streamed bodies
	Heads                   // incomplete lines and the kept values of heads
	Responses               // responses that their clients have not read yet
	Requests                // requests in progress with their attempts, and requests that their upstreams have not read yet
	Connections             // state of connections
	Endpoints               // endpoints that were listed after the start
	Discovery               // the received part of a message of the discovery service
	kinds
)

// shares are the shares of the limit up to which memory of a kind is still extended. They apply to the memory of all kinds
// together, so that the kinds with the smallest share are the first that have to do with less.
var shares = [kinds]float64{
	ReadAhead:   0.25, // above it, bytes behind a request stay in the kernel
	Bodies:      0.5,  // above it, long bodies are streamed
	Streams:     0.75, // above it, requests with a long body are rejected
	Heads:       0.75, // above it, long heads are rejected
	Responses:   1,    // never refused: the request may have run
	Requests:    1,    // above it, all requests are rejected; see AdmitsRequest
	Connections: 1,    // above it, connections are accepted only to reject their requests
	Endpoints:   1,    // never refused: requests must not go to endpoints that are gone
	Discovery:   1,    // never refused for the same reason; the length of a message has a limit
}

var kindNames = [kinds]string{
	ReadAhead:   "read_ahead",
	Bodies:      "bodies",
	Streams:     "streams",
	Heads:       "heads",
	Responses:   "responses",
	Requests:    "requests",
	Connections: "connections",
	Endpoints:   "endpoints",
	Discovery:   "discovery",
}

// String returns the name of a kind in counters and log lines.
func (k Kind) String() string { return kindNames[k] }

// Account counts the memory of all kinds against one limit. Its methods accept a nil receiver, which stands for no limit.
// It is not safe for concurrent use: it belongs to one event loop.
type Account struct {
	limit    int // bytes
	total    int // bytes
	used     [kinds]int
	onFull   func()  // called when the total passes the limit; may be nil
	pressure float64 // from other memory of the process, on the scale of the shares
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int) *Account { return &Account{limit: limit} }

// OnFull sets a function that is called each time the total passes the limit.
func (a *Account) OnFull(notify func()) { a.onFull = notify }

// SetLimit changes the limit, in bytes. Memory that is in use stays in use.
func (a *Account) SetLimit(limit int) { a.limit = limit }

// Limit returns the limit in bytes, or math.MaxInt if there is none.
func (a *Account) Limit() int {
	if a == nil {
		return math.MaxInt
	}
	return a.limit
}

// Add records that the memory of a kind has grown by a number of bytes, which may be negative.
func (a *Account) Add(kind Kind, bytes int) {
	if a == nil {
		return
	}
	before := a.total
	a.used[kind] += bytes
	a.total += bytes
	if before <= a.limit && a.total > a.limit && a.onFull != nil {
		a.onFull()
	}
}

// Total returns the memory of all kinds, in bytes.
func (a *Account) Total() int { return a.total }

// Used returns the memory of a kind, in bytes.
func (a *Account) Used(kind Kind) int { return a.used[kind] }

// SetPressure sets how much of the memory of the whole process is in use, as Monitor.Pressure tells it. Kinds are refused when the account
// or the process has used up their share.
func (a *Account) SetPressure(pressure float64) { a.pressure = pressure }

// usedShare returns the share of the limit that is in use, or that of the whole process if it is larger.
func (a *Account) usedShare() float64 { return max(float64(a.total)/float64(a.limit), a.pressure) }

// Full reports whether so much memory is in use that memory of a kind should not be extended.
func (a *Account) Full(kind Kind) bool { return a != nil && a.usedShare() > shares[kind] }

// lowestWeightShare is the share of the limit above which requests with the lowest priority weight are rejected.
const lowestWeightShare = 0.875

// AdmitsRequest reports whether there is memory for another request. The weight is its priority weight, from 0 to 1 for the
// highest weight of all classes. As memory runs out, requests with a lower weight are rejected first.
func (a *Account) AdmitsRequest(weight float64) bool {
	if a == nil {
		return true
	}
	return a.usedShare() <= lowestWeightShare+(shares[Requests]-lowestWeightShare)*weight
}

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, kinds)
	for i := range all {
		all[i] = Kind(i)
	}
	return all
}

// String returns the total, the limit and the memory of each kind, for log lines.
func (a *Account) String() string {
	text := fmt.Sprintf("total=%d limit=%d", a.total, a.limit)
	for kind, used := range a.used {
		text += fmt.Sprintf(" %s=%d", Kind(kind), used)
	}
	return text
}
