package loop

import (
	"errors"
	"maps"
	"slices"

	"golang.org/x/sys/unix"

	"salttrack/internal/invariant"
)

// watchRetryInterval is the time after which a watch is repeated that the kernel had no memory for, in milliseconds.
const watchRetryInterval = 5.0

// watch is what the loop knows of a descriptor.
type watch struct {
	handler     Handler // nil if the descriptor is not watched
	generation  int32   // tells events of a closed descriptor from those of a new one with the same number
	events      uint32
	prioritized bool
	paused      bool
	registered  bool    // the kernel watches it
	unreadSince float64 // the earliest time at which unread bytes may have been received, 0 if all were read
}

// Add begins to watch a descriptor for events.
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

// Prioritize lets the handler of a descriptor run before those of all others that are ready in the same turn.
func (l *Loop) Prioritize(fd int) { l.watches[fd].prioritized = true }

// Watch replaces the events that a descriptor is watched for, and ends a pause.
func (l *Loop) Watch(fd int, events uint32) {
	w := &l.watches[fd]
	if w.handler == nil || w.events == events && !w.paused {
		return
	}
	w.events = events
	w.paused = false
	err := l.sync(fd)
	invariant.Check(err == nil, "a watch fails for want of memory only")
}

// Pause stops reporting events of a descriptor until Watch is called. It also stops errors, which Watch without events
// does not: the kernel reports them in each turn until they are read.
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

// Close closes a descriptor and stops watching it, if it is watched. Its events that this turn has not handled yet are
// dropped.
func (l *Loop) Close(fd int) {
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
			} else {
				l.dropStaleWatch(int(event.Fd))
			}
		}
	}
}

// sync passes the events of a descriptor to the kernel. If the kernel has no memory for it, it is repeated later.
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
		l.After(watchRetryInterval, l.syncAgain)
	}
	l.unsynced[fd] = struct{}{}
	l.markUnread(fd)
	return nil
}

// syncAgain repeats what the kernel had no memory for.
func (l *Loop) syncAgain() {
	unsynced := slices.Sorted(maps.Keys(l.unsynced))
	clear(l.unsynced)
	for _, fd := range unsynced {
		if w := &l.watches[fd]; w.handler != nil && !w.paused {
			l.sync(fd)
		}
	}
}

// dropStaleWatch handles an event that the descriptor is not watched for any more, as the kernel could not take the
// change. The kernel would report it in each turn, so its watch is removed until the change is repeated; that takes no
// memory.
func (l *Loop) dropStaleWatch(fd int) {
	if _, ok := l.unsynced[fd]; ok && l.watches[fd].registered {
		l.watches[fd].registered = false
		l.kernel.Remove(fd)
	}
}

// isTransient reports whether a call failed as the system is short of memory, or was interrupted: the same call may
// succeed a moment later, and the descriptor is unchanged.
func isTransient(err error) bool {
	return errors.Is(err, unix.EINTR) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM)
}
