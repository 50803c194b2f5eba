package hotrestart

import (
	"os"

	"golang.org/x/sys/unix"
)

// sharedMemorySuffix is the suffix of the names of files whose memory the processes of a balancer share.
const sharedMemorySuffix = ".shared"

// SharedMemory returns a memory of the given size in bytes, which all processes of the balancer share under a name. It is zero
// when the first of them gets it, and stays mapped until the process exits.
func (d *Directory) SharedMemory(name string, size int) ([]byte, error) {
	file, err := os.OpenFile(d.file(name, sharedMemorySuffix), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &StorageError{err}
	}
	defer file.Close()
	if err := unix.Fallocate(int(file.Fd()), 0, 0, int64(size)); err != nil { // a hole would be a fault when the disk is full
		return nil, &StorageError{err}
	}
	memory, err := unix.Mmap(int(file.Fd()), 0, size, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, &StorageError{err}
	}
	return memory, nil
}
