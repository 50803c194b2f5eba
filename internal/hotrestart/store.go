package hotrestart

// Store keeps the records of the processes of one balancer.
// Its methods may block on a disk, so they have to be called by one goroutine that is not the event loop's.
type Store interface {
	// Publish replaces the record of this process. It returns nil once the new record is on stable storage.
	// If it returns an error, the old record remains.
	// After success it removes the records of the exited processes in merged, whose overrides the new record includes.
	Publish(r Record, merged []string) error
	// Peers returns the records of the other processes. It returns an error if the store can't be read at all.
	Peers() (PeerRecords, error)
	// Close marks this process as exited. Its record stays for the other processes.
	Close()
}
