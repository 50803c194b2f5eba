package main

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// startWithLogPipe starts a program that logs to a pipe, and returns the program and the read end of the pipe.
func startWithLogPipe(t *testing.T, path string) (*program, *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { reader.Close() })
	p := start(t, path, func(c *exec.Cmd) { c.Stderr = writer })
	writer.Close()
	return p, reader
}

// The balancer serves requests and shuts down gracefully although the read end of the log's pipe is closed.
func TestLogReaderExited(t *testing.T) {
	e := newEnvironment(t, echo)
	p, reader := startWithLogPipe(t, e.config(nil))
	reader.Close()
	for range 3 {
		p.cmd.Process.Signal(syscall.SIGUSR1)
		p.cmd.Process.Signal(syscall.SIGHUP)
		p.expectStatus("read", "between", 200)
	}
	p.expectServesAndTerminates("last")
}

// The balancer serves requests and shuts down gracefully although the log's pipe is full and nobody reads from it.
func TestLogReaderBlocked(t *testing.T) {
	e := newEnvironment(t, echo)
	p, reader := startWithLogPipe(t, e.config(nil))
	size, err := unix.FcntlInt(reader.Fd(), unix.F_SETPIPE_SZ, 4096)
	if err != nil {
		t.Fatal(err)
	}
	const minLineLength = 500 // lower bound of the length of a log line with counters, in bytes
	for written := 0; written < 2*size; written += minLineLength {
		p.cmd.Process.Signal(syscall.SIGUSR1)
		if status, _ := p.do("read", "between"); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	p.expectServesAndTerminates("last")
}
