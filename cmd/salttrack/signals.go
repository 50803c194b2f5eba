package main

import (
	"os"
	"os/signal"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"salttrack/internal/loop"
	"salttrack/internal/node"
)

// maxQueuedSignals is the capacity of the queue of signals that do not shut down.
const maxQueuedSignals = 8

// handleSignals starts the goroutines that handle signals, which run until the process exits.
// SIGTERM and SIGINT start the shutdown, SIGHUP reloads the configuration,
// SIGUSR1 logs the counters, and SIGUSR2 enables or disables the trace.
// Handling a signal may block on a disk, the log or the event loop.
// Therefore shutdowns, reloads and other signals are handled on separate goroutines, so that no signal delays a shutdown.
func handleSignals(b *node.Node, l *loop.Loop, log *logrus.Entry) {
	shutdown := make(chan os.Signal, 1)
	signal.Notify(shutdown, unix.SIGTERM, unix.SIGINT)
	go handleShutdown(shutdown, b, l)

	reload := make(chan struct{}, 1)
	go handleReload(reload, b, l)

	others := make(chan os.Signal, maxQueuedSignals)
	signal.Notify(others, unix.SIGHUP, unix.SIGUSR1, unix.SIGUSR2)
	go func() {
		for s := range others {
			switch s {
			case unix.SIGHUP:
				requestReload(reload)
			case unix.SIGUSR1:
				l.Post(func() { log.WithField("counters", b.Counters.String()).Info("counters") })
			case unix.SIGUSR2:
				l.Post(func() { b.Trace.SetEnabled(!b.Trace.Enabled()) })
			}
		}
	}()
}

// handleShutdown starts the shutdown when a signal arrives. Further signals have no effect.
// The loop handles the events of its current turn as if they had arrived at the earliest possible time.
// If that time is before the signal, the shutdown counts from it, and otherwise from the time of the signal.
func handleShutdown(signals <-chan os.Signal, b *node.Node, l *loop.Loop) {
	for range signals {
		receivedAt := l.Now()
		l.Post(func() { b.Shutdown(min(receivedAt, l.EarliestArrival()), l.Stop) })
	}
}

// requestReload requests a reload. It does nothing if a requested reload has not started yet, since that one reads the current file.
func requestReload(reload chan<- struct{}) {
	select {
	case reload <- struct{}{}:
	default:
	}
}

// handleReload reads the configuration and applies it at each request. Reading the file may block.
func handleReload(requests <-chan struct{}, b *node.Node, l *loop.Loop) {
	for range requests {
		c, err := node.Reload(os.Getenv)
		l.Post(func() { b.ApplyReload(c, err) })
	}
}
