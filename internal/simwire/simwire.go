// Package simwire is the codec of the simulator's wire: framed batches of events in, framed replies of
// actions out. It knows layouts and codes, and decides nothing.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes of the wire's parts, in bytes.
const (
	batchHeader = 20
	replyHeader = 12
	eventSize   = 48
	actionSize  = 24
	entrySize   = 22
	// MaxFrame bounds what a length field can make the reader allocate.
	MaxFrame = 256 << 20
)

// Code is the code of an event.
type Code uint8

// The events.
const (
	PowerOn     Code = 10
	Announce    Code = 20
	Submit      Code = 30
	Established Code = 40
	AttemptEnd  Code = 50
	Left        Code = 60
	Bell        Code = 70
	StatusBack  Code = 80
	Heard       Code = 90
	Killed      Code = 100
	Inventory   Code = 110
)

// Codes of the actions.
const (
	actBailOut       = 20
	actReject        = 40
	actWriteLog      = 50
	actDispatch      = 70
	actDefer         = 80
	actCancel        = 90
	actReportFailure = 100
	actTrack         = 120
)

// How an announced list relates to the one held.
const (
	ListDelta  = 0
	ListFull   = 1
	ListCached = 2
	ListFailed = 3
)

// Bits of a submitted request.
const (
	BitHint  = 1
	BitRetry = 2
	BitWrite = 4
)

// Entry is one line of a list of upstreams.
type Entry struct {
	Upstream  uint32
	Site      uint16
	Family    uint8
	Stripe    uint16
	Lifecycle uint8
	Size      float32
	CameUp    float64
}

// Event is one record of a batch, with the fields its code fills.
type Event struct {
	Code     Code
	Balancer uint16
	How      uint8  // Announce
	Class    uint8  // Submit
	Bits     uint8  // Submit
	Done     bool   // AttemptEnd
	Project  uint16 // Submit
	N        uint16 // AttemptEnd, Established
	Verdict  uint16 // AttemptEnd, StatusBack
	Ticket   uint32
	Upstream uint32
	List     uint32 // Inventory, Announce
	Peer     uint32 // Heard
	Key      uint64 // Submit
	Number   uint64 // seed, list version or cookie
	Expires  float64
	Expected float64
	Spent    float64
	Stats    [4]float32
	NStats   int
	Text     []byte // PowerOn, Heard: part of the frame, valid until the next batch
	tail     []byte // Inventory: packed entries
}

// Entries appends the entries of an Inventory to dst.
func (e *Event) Entries(dst []Entry) []Entry {
	for p := e.tail; len(p) >= entrySize; p = p[entrySize:] {
		dst = append(dst, Entry{
			Upstream: u32(p, 0), Site: u16(p, 4), Family: p[6], Stripe: u16(p, 7), Lifecycle: p[9],
			Size: f32(p, 10), CameUp: f64(p, 14),
		})
	}
	return dst
}

// Batch is one frame of events.
type Batch struct {
	Clock  float64
	Number uint32
	frame  []byte
	count  int
}

// Len returns the number of records.
func (b *Batch) Len() int { return b.count }

// Read reads the next batch, reusing the memory of the last. It returns io.EOF at a clean end.
func (b *Batch) Read(r io.Reader) error {
	if cap(b.frame) < batchHeader {
		b.frame = make([]byte, 0, 1<<16)
	}
	head := b.frame[:batchHeader]
	if n, err := io.ReadFull(r, head); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return io.EOF
		}
		return fmt.Errorf("after batch %d: header cut off after %d of %d bytes", b.Number, n, batchHeader)
	}
	size, count := u32(head, 0), u32(head, 4)
	clock, number := f64(head, 8), u32(head, 16)
	if size < batchHeader || size > MaxFrame {
		return fmt.Errorf("batch %d: impossible frame length %d", number, size)
	}
	if uint64(count)*eventSize > uint64(size)-batchHeader {
		return fmt.Errorf("batch %d: %d records do not fit into a frame of %d bytes", number, count, size)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return fmt.Errorf("batch %d: clock is not a number", number)
	}
	body, err := readBody(r, b.frame[:0], int(size)-batchHeader)
	if err != nil {
		return fmt.Errorf("batch %d: frame of %d bytes cut off: %v", number, size, err)
	}
	b.frame, b.count, b.Clock, b.Number = body, int(count), clock, number
	return nil
}

// readBody reads n bytes in steps, so that a false length costs no more memory than was really sent.
func readBody(r io.Reader, buf []byte, n int) ([]byte, error) {
	const step = 1 << 20
	for len(buf) < n {
		have, want := len(buf), min(n, len(buf)+step)
		if cap(buf) < want {
			grown := make([]byte, have, max(want, min(n, 2*cap(buf))))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:want]
		if _, err := io.ReadFull(r, buf[have:]); err != nil {
			return buf[:0], err
		}
	}
	return buf, nil
}

// Event decodes record i into e.
func (b *Batch) Event(i int, e *Event) error {
	p := b.frame[i*eventSize : (i+1)*eventSize]
	*e = Event{Code: Code(p[0]), Balancer: u16(p, 1)}
	switch e.Code {
	case PowerOn:
		e.Number = u64(p, 3)
		return b.text(p, 11, 1, &e.Text, i)
	case Inventory:
		*e = Event{Code: Inventory, List: u32(p, 1)}
		if e.List > 15 {
			return b.bad(i, fmt.Sprintf("list number %d", e.List))
		}
		return b.text(p, 5, entrySize, &e.tail, i)
	case Announce:
		e.List, e.How, e.Number = u32(p, 3), p[7], u64(p, 8)
		if e.How > ListFailed {
			return b.bad(i, fmt.Sprintf("unknown kind of list %d", e.How))
		}
	case Submit:
		e.Ticket, e.Class, e.Project = u32(p, 3), p[7], u16(p, 8)
		e.Key, e.Expires, e.Expected, e.Bits = u64(p, 10), f64(p, 18), f64(p, 26), p[34]
	case Established:
		e.Ticket, e.N, e.Upstream, e.Spent = u32(p, 3), u16(p, 7), u32(p, 9), f64(p, 13)
	case AttemptEnd:
		e.Ticket, e.N, e.Upstream, e.Verdict = u32(p, 3), u16(p, 7), u32(p, 9), u16(p, 13)
		e.Spent, e.Done = f64(p, 15), p[23] != 0
		return b.stats(p, 24, e, i)
	case Left:
		e.Ticket = u32(p, 3)
	case Bell:
		e.Number = u64(p, 3)
	case StatusBack:
		e.Verdict, e.Spent, e.Upstream = u16(p, 3), f64(p, 5), u32(p, 13)
		return b.stats(p, 17, e, i)
	case Heard:
		e.Peer = u32(p, 3)
		return b.text(p, 7, 1, &e.Text, i)
	case Killed:
	default:
		return b.bad(i, fmt.Sprintf("unknown event code %d", p[0]))
	}
	return nil
}

func (b *Batch) bad(i int, what string) error {
	return fmt.Errorf("batch %d, record %d: %s", b.Number, i, what)
}

// text takes the part of the tail that the field at offset at names, in items of the given size.
func (b *Batch) text(p []byte, at, item int, dst *[]byte, i int) error {
	tail := b.frame[b.count*eventSize:]
	from, n := uint64(u32(p, at)), uint64(u32(p, at+4))*uint64(item)
	if from+n > uint64(len(tail)) {
		return b.bad(i, fmt.Sprintf("content at %d of %d bytes lies beyond the tail of %d", from, n, len(tail)))
	}
	*dst = tail[from : from+n]
	return nil
}

func (b *Batch) stats(p []byte, at int, e *Event, i int) error {
	e.NStats = int(p[at])
	if e.NStats > len(e.Stats) {
		return b.bad(i, fmt.Sprintf("load report of %d values", e.NStats))
	}
	for k := range e.NStats {
		e.Stats[k] = f32(p, at+1+4*k)
	}
	return nil
}

// Reply is one frame of actions. Its zero value is ready for Reset.
type Reply struct {
	records []byte
	tail    []byte
	head    [replyHeader]byte
}

// Reset empties the reply.
func (r *Reply) Reset() { r.records, r.tail = r.records[:0], r.tail[:0] }

func (r *Reply) record(code uint8, balancer uint16) []byte {
	var blank [actionSize]byte
	r.records = append(r.records, blank[:]...)
	p := r.records[len(r.records)-actionSize:]
	p[0] = code
	put16(p, 1, balancer)
	return p
}

// Dispatch starts an attempt.
func (r *Reply) Dispatch(balancer uint16, ticket, upstream uint32, giveUpAfter float64) {
	p := r.record(actDispatch, balancer)
	put32(p, 3, ticket)
	put32(p, 7, upstream)
	putF64(p, 11, giveUpAfter)
}

// Reject refuses a request.
func (r *Reply) Reject(balancer uint16, ticket uint32, stayAway float64) {
	p := r.record(actReject, balancer)
	put32(p, 3, ticket)
	putF64(p, 7, stayAway)
}

// ReportFailure fails a request.
func (r *Reply) ReportFailure(balancer uint16, ticket uint32) {
	put32(r.record(actReportFailure, balancer), 3, ticket)
}

// Cancel calls an attempt off.
func (r *Reply) Cancel(balancer uint16, ticket uint32, n uint16) {
	p := r.record(actCancel, balancer)
	put32(p, 3, ticket)
	put16(p, 7, n)
}

// Defer sets a timer.
func (r *Reply) Defer(balancer uint16, fromNow float64, cookie uint64) {
	p := r.record(actDefer, balancer)
	putF64(p, 3, fromNow)
	binary.LittleEndian.PutUint64(p[11:], cookie)
}

// Track subscribes to the list.
func (r *Reply) Track(balancer uint16, active bool) {
	if p := r.record(actTrack, balancer); active {
		p[3] = 1
	}
}

// WriteLog writes a line into the report.
func (r *Reply) WriteLog(balancer uint16, text string) { r.words(actWriteLog, balancer, text) }

// BailOut reports that the decision code has failed.
func (r *Reply) BailOut(balancer uint16, text string) { r.words(actBailOut, balancer, text) }

func (r *Reply) words(code uint8, balancer uint16, text string) {
	p := r.record(code, balancer)
	put32(p, 3, uint32(len(r.tail)))
	put32(p, 7, uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// Write writes the reply to the numbered batch.
func (r *Reply) Write(w io.Writer, batch uint32) error {
	put32(r.head[:], 0, uint32(replyHeader+len(r.records)+len(r.tail)))
	put32(r.head[:], 4, uint32(len(r.records)/actionSize))
	put32(r.head[:], 8, batch)
	for _, p := range [...][]byte{r.head[:], r.records, r.tail} {
		if _, err := w.Write(p); err != nil {
			return err
		}
	}
	return nil
}

func u16(p []byte, at int) uint16  { return binary.LittleEndian.Uint16(p[at:]) }
func u32(p []byte, at int) uint32  { return binary.LittleEndian.Uint32(p[at:]) }
func u64(p []byte, at int) uint64  { return binary.LittleEndian.Uint64(p[at:]) }
func f32(p []byte, at int) float32 { return math.Float32frombits(u32(p, at)) }
func f64(p []byte, at int) float64 { return math.Float64frombits(u64(p, at)) }

func put16(p []byte, at int, v uint16)   { binary.LittleEndian.PutUint16(p[at:], v) }
func put32(p []byte, at int, v uint32)   { binary.LittleEndian.PutUint32(p[at:], v) }
func putF64(p []byte, at int, v float64) { binary.LittleEndian.PutUint64(p[at:], math.Float64bits(v)) }
