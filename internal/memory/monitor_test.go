package memory

import "testing"

// Guards against a process that goes on as before while code outside the account, or the kernel, uses up the limit.
func TestLevelsFollowWhatIsCounted(t *testing.T) {
	const limit, base = 32 << 20, 7 << 20
	room := float64(limit - base)
	for _, part := range []func(bytes int) Usage{
		func(bytes int) Usage { return Usage{Resident: base + bytes} },
		func(bytes int) Usage { return Usage{Resident: base, Sockets: bytes} },
		func(bytes int) Usage { return Usage{Resident: base, Files: bytes} },
	} {
		var m Monitor
		m.SetLimit(limit, base)
		for _, step := range []struct {
			share float64
			level Level
		}{{0, Normal}, {0.6, Normal}, {0.65, Constrained}, {0.84, Constrained}, {0.86, Rejecting}, {0.91, Shedding}, {1.2, Shedding}, {0.4, Normal}} {
			m.Observe(part(int(step.share * room)))
			if m.Level() != step.level {
				t.Errorf("%v of the room: level %v, want %v (%v)", step.share, m.Level(), step.level, m.Usage())
			}
			var account Account
			account.SetLimit(1000)
			account.SetPressure(m.Pressure())
			if admits := account.AdmitsRequest(1); admits != (step.level < Rejecting) {
				t.Errorf("%v of the room: requests of the highest weight are admitted: %v", step.share, admits)
			}
			if full := account.Full(ReadAhead); full != (step.level > Normal) {
				t.Errorf("%v of the room: bytes are read ahead: %v", step.share, !full)
			}
			if excess := m.Excess(); excess > 0 != (step.level >= Rejecting) {
				t.Errorf("%v of the room: %d bytes to be freed", step.share, excess)
			}
		}
	}
}

// A process without a limit is never short of memory.
func TestNoLimit(t *testing.T) {
	var m Monitor
	if m.Observe(Usage{Resident: 1 << 40}) || m.Level() != Normal || m.Excess() != 0 {
		t.Errorf("level %v, excess %d without a limit", m.Level(), m.Excess())
	}
}
