package memory

// Level is how near the memory of the process is to its limit.
type Level uint8

// The levels, in the order of the memory that is in use.
const (
	Normal      Level = iota // nothing is refused because of the process
	Constrained              // what takes much memory is refused
	Rejecting                // all requests are rejected, and incomplete ones are ended
	Shedding                 // connections of clients that do not read are closed
)

var levelNames = [...]string{Normal: "normal", Constrained: "constrained", Rejecting: "rejecting", Shedding: "shedding"}

// String returns the name of a level in log lines.
func (l Level) String() string { return levelNames[l] }

// Shares of the room, which is the difference between the limit and the memory that the process needs before it serves.
const (
	pressureStart = 0.55 // share in use from which the pressure rises
	pressureFull  = 0.85 // share in use at which the pressure is 1
	sheddingStart = 0.9  // share in use above which connections of clients that do not read are closed
)

// Monitor compares all that a platform may count with the memory limit of the process. It is not safe for concurrent use.
type Monitor struct {
	base  int // bytes that the process needs before it serves
	limit int // bytes; 0 if there is no limit
	usage Usage
}

// SetLimit sets the limit, and the memory that the process needs before it serves, in bytes.
func (m *Monitor) SetLimit(limit, base int) { m.limit, m.base = limit, base }

// Observe records what is in use. It reports whether the level has changed.
func (m *Monitor) Observe(u Usage) (changed bool) {
	before := m.Level()
	m.usage = u
	return m.Level() != before
}

// Usage returns what was in use at the last call of Observe.
func (m *Monitor) Usage() Usage { return m.usage }

// Limit returns the limit in bytes.
func (m *Monitor) Limit() int { return m.limit }

// room returns the bytes that may be in use beside those that the process needs before it serves.
func (m *Monitor) room() float64 { return float64(max(minRoom, m.limit-m.base)) }

// minRoom is the least room in bytes, so that the process serves under any limit.
const minRoom = 512 << 10

// usedShare returns the share of the room that is in use.
func (m *Monitor) usedShare() float64 {
	if m.limit == 0 {
		return 0
	}
	return float64(m.usage.Total()-m.base) / m.room()
}

// Pressure returns how much of the room is in use, on the scale of the shares of the kinds: at 1 all requests are rejected.
func (m *Monitor) Pressure() float64 {
	return max(0, (m.usedShare()-pressureStart)/(pressureFull-pressureStart))
}

// Level returns the level.
func (m *Monitor) Level() Level {
	switch {
	case m.usedShare() > sheddingStart:
		return Shedding
	case m.Pressure() > shares[Requests]:
		return Rejecting
	case m.Pressure() > shares[ReadAhead]:
		return Constrained
	}
	return Normal
}

// Excess returns the number of bytes to be freed so that requests need not be rejected, 0 if none.
func (m *Monitor) Excess() int {
	return max(0, int((m.usedShare()-pressureFull)*m.room()))
}
