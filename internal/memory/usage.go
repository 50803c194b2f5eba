package memory

import "fmt"

// Usage is all that a platform may count against the memory limit of the process, in bytes.
type Usage struct {
	Resident int // resident memory: anonymous memory, pages of files, shared memory
	Sockets  int // the kernel's buffers for connections
	Files    int // temporary files
}

// Total returns the sum of all parts, in bytes.
func (u Usage) Total() int { return u.Resident + u.Sockets + u.Files }

// String returns the total and its parts in bytes, for log lines.
func (u Usage) String() string {
	return fmt.Sprintf("total=%d resident=%d sockets=%d files=%d", u.Total(), u.Resident, u.Sockets, u.Files)
}
