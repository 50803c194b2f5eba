package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Parts of the messages by which the kernel lists sockets with their memory (sock_diag).
const (
	diagRequestBytes   = 56
	diagResponseBytes  = 72
	diagInodeOffset    = 68
	diagStateOffset    = 1
	diagMemoryInfo     = 7                 // attribute with the memory of a socket, as numbers of 4 bytes
	diagEstablishedEnd = 1<<12 - 1<<10 - 2 // mask of all states but that of listening sockets
	receiveMemoryIndex = 0                 // bytes that wait for the process, with the kernel's overhead
	sendMemoryIndex    = 5                 // bytes that wait for the peer, with the kernel's overhead
)

const countedSampling = 50 * time.Millisecond

// countedMemory is all that a platform may count against the memory limit of some processes, in MB.
type countedMemory struct {
	resident, sockets, files float64
}

func (m countedMemory) total() float64 { return m.resident + m.sockets + m.files }

func (m countedMemory) String() string {
	return fmt.Sprintf("%.1f MB (resident %.1f, socket buffers %.1f, files %.1f)", m.total(), m.resident, m.sockets, m.files)
}

// residentMB returns the resident memory of a process in MB: what it is now, and of that the anonymous memory, the pages of files
// and the shared memory.
func residentMB(t *testing.T, pid int) (resident, anonymous, files, shared float64) {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, 0, 0 // the process has exited
	}
	value := func(field string) float64 {
		match := regexp.MustCompile(field + `:\s+(\d+) kB`).FindSubmatch(status)
		if match == nil {
			return 0
		}
		kilobytes, _ := strconv.ParseFloat(string(match[1]), 64)
		return kilobytes / 1024
	}
	return value("VmRSS"), value("RssAnon"), value("RssFile"), value("RssShmem")
}

// socketMemoryMB returns the memory of the kernel's buffers of the sockets of a process, in MB.
func socketMemoryMB(t *testing.T, pid int) float64 {
	t.Helper()
	inodes := socketInodes(pid)
	sum := 0
	for inode, size := range socketMemory(t) {
		if inodes[inode] {
			sum += size
		}
	}
	return float64(sum) / (1 << 20)
}

// socketInodes returns the inodes of the sockets that a process has open.
func socketInodes(pid int) map[uint32]bool {
	inodes := map[uint32]bool{}
	directory := fmt.Sprintf("/proc/%d/fd", pid)
	entries, _ := os.ReadDir(directory) // empty if the process has exited
	for _, entry := range entries {
		target, _ := os.Readlink(filepath.Join(directory, entry.Name()))
		var inode uint32
		if _, err := fmt.Sscanf(target, "socket:[%d]", &inode); err == nil {
			inodes[inode] = true
		}
	}
	return inodes
}

// socketMemory returns the memory of the buffers of each TCP connection on this machine, in bytes, by its inode.
func socketMemory(t *testing.T) map[uint32]int {
	t.Helper()
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	if err := unix.Sendto(fd, diagRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		t.Fatal(err)
	}
	sizes := map[uint32]int{}
	for buffer := make([]byte, 64<<10); ; {
		n, _, err := unix.Recvfrom(fd, buffer, 0)
		if err != nil {
			t.Fatal(err)
		}
		for p := buffer[:n]; len(p) >= unix.NLMSG_HDRLEN; {
			length, kind := binary.NativeEndian.Uint32(p), binary.NativeEndian.Uint16(p[4:])
			if kind == unix.NLMSG_DONE || kind == unix.NLMSG_ERROR {
				return sizes
			}
			message := p[unix.NLMSG_HDRLEN:length]
			sizes[binary.NativeEndian.Uint32(message[diagInodeOffset:])] = diagMemory(message[diagResponseBytes:])
			p = p[min(len(p), int(length+unix.NLMSG_ALIGNTO-1)&^(unix.NLMSG_ALIGNTO-1)):]
		}
	}
}

// diagRequest returns the request for all TCP connections over IPv4.
func diagRequest() []byte {
	var b bytes.Buffer
	for _, field := range []any{
		uint32(unix.NLMSG_HDRLEN + diagRequestBytes), uint16(unix.SOCK_DIAG_BY_FAMILY),
		uint16(unix.NLM_F_REQUEST | unix.NLM_F_DUMP), uint32(1), uint32(0),
		uint8(unix.AF_INET), uint8(unix.IPPROTO_TCP), uint8(1 << (diagMemoryInfo - 1)), uint8(0), uint32(diagEstablishedEnd),
	} {
		binary.Write(&b, binary.NativeEndian, field)
	}
	return append(b.Bytes(), make([]byte, unix.NLMSG_HDRLEN+diagRequestBytes-b.Len())...)
}

// diagMemory returns the memory of both buffers of a socket, in bytes, from the attributes of its message.
func diagMemory(attributes []byte) int {
	for len(attributes) >= unix.NLA_HDRLEN {
		length, kind := int(binary.NativeEndian.Uint16(attributes)), binary.NativeEndian.Uint16(attributes[2:])
		if kind == diagMemoryInfo {
			value := func(index int) int {
				return int(binary.NativeEndian.Uint32(attributes[unix.NLA_HDRLEN+4*index:]))
			}
			return value(receiveMemoryIndex) + value(sendMemoryIndex)
		}
		attributes = attributes[min(len(attributes), (length+unix.NLA_ALIGNTO-1)&^(unix.NLA_ALIGNTO-1)):]
	}
	return 0
}

// directoryMB returns the size of the files in a directory, in MB.
func directoryMB(directory string) float64 {
	sum := int64(0)
	filepath.WalkDir(directory, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil
		}
		if info, err := entry.Info(); err == nil {
			sum += info.Size()
		}
		return nil
	})
	return float64(sum) / (1 << 20)
}

// countedWatch samples all memory that a platform may count for some processes together.
type countedWatch struct {
	t         *testing.T
	directory string // of the temporary files, "" if there is none
	mu        sync.Mutex
	pids      []int
	peak      countedMemory
	detail    string // kinds of resident memory of each process at the peak
	done      chan struct{}
	ended     sync.WaitGroup
}

func watchCounted(t *testing.T, directory string, pid int) *countedWatch {
	w := &countedWatch{t: t, directory: directory, pids: []int{pid}, done: make(chan struct{})}
	w.ended.Go(func() {
		for {
			select {
			case <-w.done:
				return
			case <-time.After(countedSampling):
				w.sample()
			}
		}
	})
	return w
}

func (w *countedWatch) add(pid int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pids = append(w.pids, pid)
}

func (w *countedWatch) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var now countedMemory
	detail := ""
	for _, pid := range w.pids {
		resident, anonymous, files, shared := residentMB(w.t, pid)
		detail += fmt.Sprintf("%d: anonymous %.1f, files %.1f, shared %.1f; ", pid, anonymous, files, shared)
		now.resident += resident
		now.sockets += socketMemoryMB(w.t, pid)
	}
	if w.directory != "" {
		now.files = directoryMB(w.directory)
	}
	if now.total() > w.peak.total() {
		w.peak, w.detail = now, detail
	}
}

// stop ends the sampling and returns the sample with the largest total.
func (w *countedWatch) stop() countedMemory {
	close(w.done)
	w.ended.Wait()
	return w.peak
}
