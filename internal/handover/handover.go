// Package handover is what two processes of one balancer tell each other while one takes over from the other: who is
// ready, who is ending, and what operators have ordered.
package handover

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Order is the last that operators have said about an upstream.
type Order struct {
	Out bool    `json:"out"`
	At  float64 `json:"at"` // Unix time in milliseconds
}

// Record is what one process tells.
type Record struct {
	Ready  bool             `json:"ready"`  // it serves
	Ending bool             `json:"ending"` // it has been told to end
	Orders map[string]Order `json:"orders"` // by the upstream's id
}

// Store is where records are.
type Store interface {
	// Publish replaces this process's record.
	Publish(Record) error
	// Others returns the records of the other processes: first of those that live, then of those that are gone, which are
	// then removed. Records that can't be used are passed over, and each is told once.
	Others() (live, gone []Record, faults []error)
	// Close ends this process's part. Its record stays for the others.
	Close()
}

// Merge takes orders in, of which the later counts, and at one time that to stay out. It calls changed for each that
// says something new.
func Merge(into, from map[string]Order, changed func(id string, o Order)) {
	for id, o := range from {
		was, known := into[id]
		if known && (was.At > o.At || was.At == o.At && (was.Out || !o.Out)) {
			continue
		}
		into[id] = o
		changed(id, o)
	}
}

// Forget drops the orders to serve that were given before a time: they say nothing any more.
func Forget(orders map[string]Order, before float64) {
	maps.DeleteFunc(orders, func(_ string, o Order) bool { return !o.Out && o.At < before })
}

// version is that of the form of a record.
const version = 1

// encode gives a record as a line with its version, length and checksum, and its text.
func encode(r Record) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	return append(fmt.Appendf(nil, "salttrack-handover %d %d %016x\n", version, len(text), xxhash.Sum64(text)), text...), nil
}

// decode reads a record, and takes it whole or not at all.
func decode(p []byte) (Record, error) {
	var r Record
	head, text, ok := bytes.Cut(p, []byte("\n"))
	if !ok {
		return r, fmt.Errorf("record without its first line")
	}
	var form, length int
	var sum uint64
	if _, err := fmt.Sscanf(string(head), "salttrack-handover %d %d %x", &form, &length, &sum); err != nil {
		return r, fmt.Errorf("record with a malformed first line")
	}
	if form != version {
		return r, fmt.Errorf("record of version %d, this is %d", form, version)
	}
	if length != len(text) || sum != xxhash.Sum64(text) {
		return r, fmt.Errorf("record is damaged")
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("record: %w", err)
	}
	for id, o := range r.Orders {
		if id == "" || math.IsInf(o.At, 0) {
			return Record{}, fmt.Errorf("record with an order that can't be")
		}
	}
	return r, nil
}
