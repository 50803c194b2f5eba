// Package hotrestart exchanges state between the processes of one balancer during a hot restart, in which one process replaces another.
// Each process publishes a record: whether it is ready, whether it is shutting down, and the overrides that operators have set.
package hotrestart

import "maps"

// Record is the state that one process publishes. The JSON names must not change, since processes of other program versions use them.
type Record struct {
	Ready        bool                `json:"ready"` // whether the process accepts new requests
	ShuttingDown bool                `json:"ending"`
	Overrides    map[string]Override `json:"orders"` // overrides by name of the upstream
}

// Clone returns a deep copy of the record.
func (r Record) Clone() Record {
	r.Overrides = maps.Clone(r.Overrides)
	return r
}

// PeerRecord is the record of another process of the same balancer.
type PeerRecord struct {
	Process string // name of the process in the store
	Record  Record // zero Record if the process has published none, or if its record is unreadable
}

// PeerRecords are the records of all other processes, as the result of one read of the store.
type PeerRecords struct {
	Live   []PeerRecord // records of running processes
	Exited []PeerRecord // records that are kept until a process publishes a record which includes their overrides

	// Unreadable has a *RecordError for each unreadable record. The same error is reported only once.
	Unreadable []error

	FileBytes int // size of all files of the store, in bytes
}
