// Salttrack is a load balancer for HTTP/1.1. It forwards requests from clients to upstreams, by the decisions of package balance.
// It exits with status 0 after a graceful shutdown, and with status 1 after an error, which is the last line of its log.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"salttrack/internal/epoll"
	"salttrack/internal/hotrestart"
	"salttrack/internal/logqueue"
	"salttrack/internal/loop"
	"salttrack/internal/node"
	"salttrack/internal/replay"
)

// Names of the program's environment variables. Package node has those of the configuration.
const (
	logFormatVariable = "BALANCER_LOG_FORMAT" // log format, "json" or "text"; the default is "text"
	traceVariable     = "BALANCER_TRACE"      // "on" enables the trace from the start
	directoryVariable = "TMPDIR"              // parent directory of the hot restart records
)

// executedIDs is the name of the memory in which the processes of a balancer share the ids of requests that may have run.
const executedIDs = "request-ids"

const (
	logTimeFormat   = "2006-01-02T15:04:05.000Z07:00"
	logFlushTimeout = 50 * time.Millisecond // time that the exit of the program waits for a slow reader of the log
)

func main() {
	signal.Ignore(unix.SIGPIPE) // otherwise writing to the log would end the process if the reader of the log has exited
	queue := logqueue.New(os.Stderr)
	log := logrus.New()
	log.SetOutput(queue)
	log.SetFormatter(logFormatter(os.Getenv(logFormatVariable)))
	err := run(log, queue)
	if err != nil {
		log.Error(err)
	}
	queue.Flush(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// logFormatter returns the formatter of log lines for "json" or "text". Any other name means "text".
func logFormatter(format string) logrus.Formatter {
	if format == "json" {
		return &logrus.JSONFormatter{TimestampFormat: logTimeFormat}
	}
	return &logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: logTimeFormat}
}

// run loads the configuration and runs a balancer until it has shut down. The log is written to a queue.
func run(log *logrus.Logger, queue *logqueue.Queue) error {
	c, err := node.Load(os.Getenv)
	if err != nil {
		return err
	}
	applyLimits(c)
	queue.LimitBytes(maxLogBytes(c))
	kernel, err := openKernel(c)
	if err != nil {
		return err
	}
	l := loop.New(kernel)
	if runtime.GOMAXPROCS(0) == 1 {
		l.OnYield(runtime.Gosched)
	}
	entry := log.WithField("name", c.Name)
	b := node.New(c, l, entry)
	if comparableMemory {
		b.LimitProcessMemory(newProcessMemory())
	}
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

// openKernel returns the kernel of the event loop. If a listening socket is inherited, the kernel takes ownership of it.
func openKernel(c *node.Config) (loop.Kernel, error) {
	system, err := epoll.New()
	if err != nil {
		return nil, err
	}
	if c.ListenFD >= 0 {
		if err := system.Adopt(c.ListenFD); err != nil {
			return nil, fmt.Errorf("BALANCER_LISTEN_FD: %w", err)
		}
	}
	return loopKernel(system)
}

// enableHotRestart enables hot restart if the listening socket is inherited and a directory for the records is configured.
// If the directory can't be opened, the balancer runs without hot restart.
func enableHotRestart(b *node.Node, c *node.Config, log *logrus.Entry) {
	directory := os.Getenv(directoryVariable)
	if c.ListenFD < 0 || directory == "" {
		return
	}
	store, err := hotrestart.OpenDirectory(directory, c.Name, recordFileSystem(hotrestart.OSFileSystem{}))
	if err != nil {
		log.WithError(err).Warn("hot restart disabled")
		return
	}
	b.EnableHotRestart(store)
	memory, err := store.SharedMemory(executedIDs, replay.Size)
	if err != nil {
		log.WithError(err).Warn("ids of requests are not shared with other processes")
		return
	}
	b.ShareExecutedIDs(memory)
}
