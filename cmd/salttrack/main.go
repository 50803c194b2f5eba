// Salttrack is the balancer on sockets: clients on one side, upstreams on the other, and between them the decisions of package balance.
// It exits with status 0 after a graceful shutdown and with 1 after an error, which is the last line of its log.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"salttrack/internal/epoll"
	"salttrack/internal/hotrestart"
	"salttrack/internal/logqueue"
	"salttrack/internal/loop"
	"salttrack/internal/node"
)

// Environment variables of the program, beside those of the configuration.
const (
	logFormatVariable = "BALANCER_LOG_FORMAT" // "json" or "text", which is the default
	traceVariable     = "BALANCER_TRACE"      // "on" enables the trace from the start
	directoryVariable = "TMPDIR"              // where processes of one balancer share their hot restart records
)

const (
	logTimeFormat   = "2006-01-02T15:04:05.000Z07:00"
	logFlushTimeout = 50 * time.Millisecond // of the exit, for a log whose reader is slow
)

func main() {
	signal.Ignore(unix.SIGPIPE) // the process has to outlive the reader of its log
	queue := logqueue.New(os.Stderr)
	log := logrus.New()
	log.SetOutput(queue)
	log.SetFormatter(logFormatter(os.Getenv(logFormatVariable)))
	err := run(log)
	if err != nil {
		log.Error(err)
	}
	queue.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// logFormatter returns the formatter of log lines by the name of a format.
func logFormatter(format string) logrus.Formatter {
	if format == "json" {
		return &logrus.JSONFormatter{TimestampFormat: logTimeFormat}
	}
	return &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTimeFormat}
}

// run runs a balancer by the configuration that the environment names, until it has shut down.
func run(log *logrus.Logger) error {
	c, err := node.Load(os.Getenv)
	if err != nil {
		return err
	}
	applyLimits(c)
	kernel, err := openKernel(c)
	if err != nil {
		return err
	}
	l := loop.New(kernel)
	entry := log.WithField("name", c.Name)
	b := node.New(c, l, entry)
	enableHotRestart(b, c, entry)
	b.Trace.SetEnabled(os.Getenv(traceVariable) == "on")
	handleSignals(b, l, entry)
	if err := b.Start(); err != nil {
		return err
	}
	err = l.Run()
	b.Close()
	return errors.Join(err, b.Err)
}

// openKernel returns the kernel that the loop runs on, which knows the inherited listening socket if there is one.
func openKernel(c *node.Config) (loop.Kernel, error) {
	machine, err := epoll.New()
	if err != nil {
		return nil, err
	}
	if c.ListenFD >= 0 {
		if err := machine.Adopt(c.ListenFD); err != nil {
			return nil, fmt.Errorf("BALANCER_LISTEN_FD: %w", err)
		}
	}
	return loopKernel(machine)
}

// enableHotRestart lets another process replace this one, and this one another, if the listening socket is inherited and there is a
// directory for the records. The balancer owns the store.
func enableHotRestart(b *node.Node, c *node.Config, log *logrus.Entry) {
	directory := os.Getenv(directoryVariable)
	if c.ListenFD < 0 || directory == "" {
		return
	}
	store, err := hotrestart.OpenDirectory(directory, c.Name, recordFiles(hotrestart.OSFileSystem{}))
	if err != nil {
		log.WithError(err).Warn("hot restart disabled")
		return
	}
	b.EnableHotRestart(store, func(share float64) { limitMemory(share * c.Limits.MemoryMB) })
}
