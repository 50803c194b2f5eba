package loop

import (
	"errors"
	"maps"
	"slices"

	"golang.org/x/sys/unix"

	"salttrack/internal/invariant"
)

// watchRetryInterval is the time in milliseconds after which the loop retries to watch a descriptor that the kernel had
// no memory for.
const watchRetryInterval = 5.0

// watch is the state of one descriptor in the loop.
type watch struct {
	handler         Handler // nil if the descriptor is not watched
	generation      int32   // distinguishes events of a closed descriptor from those of a new one with the same number
	events          uint32
	prioritized     bool    // its handler runs before those of descriptors that are not prioritized
	paused          bool    // no events are reported, not even errors
	registered      bool    // the kernel watches the descriptor
	largeSendBuffer bool    // it is one of Loop.large.sending
	unreadSince     float64 // ms; the earliest time at which unread bytes may have been received, 0 if all bytes were read
}

// Add starts watching a descriptor for events, which are passed to a handler.
func (l *Loop) Add(fd int, events uint32, h Handler) error {
	for fd >= len(l.watches) {
		l.watches = append(l.watches, watch{})
	}
	w := &l.watches[fd]
	*w = watch{handler: h, generation: w.generation + 1, events: events}
	if err := l.sync(fd); err != nil {
		w.handler = nil
		return err
	}
	return nil
}

// Prioritize makes the handler of a descriptor run before those of all descriptors that are ready in the same turn and
// are not prioritized.
func (l *Loop) Prioritize(fd int) { l.watches[fd].prioritized = true }

// Watch replaces the events that a descriptor is watched for, and ends a pause. It has no effect on a descriptor that
// is not watched.
func (l *Loop) Watch(fd int, events uint32) {
	w := &l.watches[fd]
	if w.handler == nil || w.events == events && !w.paused {
		return
	}
	w.events = events
	w.paused = false
	err := l.sync(fd)
	invariant.Check(err == nil, "a descriptor can be watched unless the kernel has no memory")
}

// Pause stops reporting events of a descriptor, errors included, until Watch is called. Watch with an empty event mask
// does not stop errors: the kernel reports them in each turn until they are read.
func (l *Loop) Pause(fd int) {
	w := &l.watches[fd]
	if w.handler == nil || w.paused {
		return
	}
	w.paused = true
	if w.registered {
		w.registered = false
		l.kernel.Remove(fd)
	}
}

// Close closes a descriptor and stops watching it, if it is watched. Events of the descriptor that the current turn has
// not handled yet are dropped.
func (l *Loop) Close(fd int) {
	l.forgetBuffers(fd)
	if fd < len(l.watches) {
		w := &l.watches[fd]
		w.handler = nil
		w.registered = false
		w.generation++
	}
	l.kernel.Close(fd)
}

// Watched returns the number of descriptors that have a handler.
func (l *Loop) Watched() int {
	count := 0
	for i := range l.watches {
		if l.watches[i].handler != nil {
			count++
		}
	}
	return count
}

// BufferedBytesOfAll returns the memory of the kernel's buffers of all watched connections, in bytes.
func (l *Loop) BufferedBytesOfAll() int {
	sum := 0
	for fd := range l.watches {
		if l.watches[fd].handler != nil {
			sum += l.BufferedBytes(fd)
		}
	}
	return sum
}

// dispatch calls the handlers of ready descriptors, the prioritized ones first. A handler may close or add any
// descriptor.
func (l *Loop) dispatch(events []Event) {
	for _, prioritized := range [...]bool{true, false} {
		for i := range events {
			event := &events[i]
			w := &l.watches[event.Fd]
			if w.handler == nil || w.generation != event.Pad || w.prioritized != prioritized || w.paused {
				continue
			}
			if reported := event.Events & (w.events | Failed); reported != 0 {
				w.handler.Ready(reported)
				l.Yield()
			} else {
				l.dropStaleWatch(int(event.Fd))
			}
		}
	}
}

// sync makes the kernel watch a descriptor for its events. If the kernel has no memory, sync returns nil and the loop
// retries after watchRetryInterval.
func (l *Loop) sync(fd int) error {
	w := &l.watches[fd]
	var err error
	if w.registered {
		err = l.kernel.Modify(fd, w.events, w.generation)
	} else {
		err = l.kernel.Add(fd, w.events, w.generation)
	}
	if err == nil {
		w.registered = true
		return nil
	}
	if !isTransient(err) && !errors.Is(err, unix.ENOSPC) {
		return err
	}
	if len(l.unsynced) == 0 {
		l.After(watchRetryInterval, l.retrySync)
	}
	l.unsynced[fd] = struct{}{}
	l.markUnread(fd)
	return nil
}

// retrySync calls sync again for the descriptors that the kernel had no memory to watch.
func (l *Loop) retrySync() {
	unsynced := slices.Sorted(maps.Keys(l.unsynced))
	clear(l.unsynced)
	for _, fd := range unsynced {
		if w := &l.watches[fd]; w.handler != nil && !w.paused {
			l.sync(fd)
		}
	}
}

// dropStaleWatch handles an event that a descriptor is no longer watched for, if the kernel still reports it because it
// had no memory for the change of events. As the kernel would report the event in each turn, the loop removes the
// descriptor from the kernel until it retries the change. The removal needs no memory.
func (l *Loop) dropStaleWatch(fd int) {
	if _, ok := l.unsynced[fd]; ok && l.watches[fd].registered {
		l.watches[fd].registered = false
		l.kernel.Remove(fd)
	}
}

// isTransient reports whether a call failed because it was interrupted or the kernel was short of memory. The same call
// may succeed later, and the descriptor is unchanged.
func isTransient(err error) bool {
	return errors.Is(err, unix.EINTR) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}
