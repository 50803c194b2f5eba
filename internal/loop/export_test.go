package loop

// MinBlockingWait is the longest duration of a wait that did not block, in milliseconds.
const MinBlockingWait = minBlockingWait

// LastWaitEnd returns when the wait of the last turn ended, in milliseconds on the kernel's monotonic clock.
func (l *Loop) LastWaitEnd() float64 { return l.lastWaitEnd }
