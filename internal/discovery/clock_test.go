package discovery

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"salttrack/balance"
)

// clockStart is the time of both clocks when the balancer starts, in milliseconds.
const clockStart = 1e12

// checkStart reports the start time of an upstream three times after a step of the wall clock, and checks the converted
// start time after each report. All durations are in milliseconds: before is the time from the start to the step, or 0
// for a start after the step, and after is the time from the start or the step, whichever is later, to the first report.
func checkStart(t *testing.T, step, before, after balance.Millis) {
	t.Helper()
	r, table := NewRegistry([]string{"a"}), addresses{}
	r.ObserveClocks(clockStart, clockStart)
	apply(t, r, table, snapshot(1, memberAt("s-1", "in_service", "127.0.0.1:78", 0)))
	start := clockStart + balance.Millis(10000)
	wallStart := start + step
	now := start + after
	if before > 0 {
		wallStart = start
		now = start + before + after
	}
	r.ObserveClocks(now, now+step)
	for revision := 2; revision < 5; revision++ {
		got := apply(t, r, table, delta(revision, memberAt("s-1", "in_service", "127.0.0.1:78", int(wallStart))))[0].StartedAt
		// A step of seconds can't be distinguished from a delayed report. The converted start time may then be later
		// than the actual one, but not earlier.
		if late := got - start; late < -1 || late > math.Abs(step)+1 || math.Abs(step) > 1e6 && late > 1 {
			t.Errorf("converted start time is %.0f ms late after %d reports", late, revision-1)
		}
		now += 3000
		r.ObserveClocks(now, now+step)
	}
}

// The start time of an upstream on the balancer's clock, from which slow start is counted, does not depend on steps of
// the wall clock or on how often the same start is reported.
func TestStartUnderClockSteps(t *testing.T) {
	for name, step := range map[string]balance.Millis{"none": 0, "an hour forward": 3600e3, "an hour back": -3600e3,
		"seconds forward": 5000, "seconds back": -5000} {
		for _, tt := range []struct {
			name          string
			before, after balance.Millis
		}{
			{"reported at once", 0, 10},
			{"reported late", 0, 4000},
			{"started before the step", 1000, 100},
		} {
			t.Run(name+", "+tt.name, func(t *testing.T) { checkStart(t, step, tt.before, tt.after) })
		}
	}
}

// With steps of the wall clock at any time, a converted start time is never before the actual start and never in the
// future.
func TestStartIsNeverTooEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, table := NewRegistry([]string{"a"}), addresses{}
		now, offset := clockStart, 0.0
		r.ObserveClocks(now, now)
		for range rapid.IntRange(1, 6).Draw(t, "upstreams") {
			now += rapid.Float64Range(1, 20000).Draw(t, "time until the start")
			start, wallStart := now, now+offset
			now += rapid.Float64Range(0, 3000).Draw(t, "time until the step")
			offset += rapid.Float64Range(-3600e3, 3600e3).Draw(t, "step")
			now += rapid.Float64Range(0, 3000).Draw(t, "time until the update")
			r.ObserveClocks(now, now+offset)
			u := &Update{Endpoints: []Endpoint{{Name: "s", StartedAt: wallStart, State: balance.Ready}}}
			got := r.Apply(u, table).Endpoints[0].StartedAt
			if got < start-maxClockDrift-1 || got > now {
				t.Fatalf("start %v is converted to %v, reported at %v", start, got, now)
			}
		}
	})
}

// Without a step of the wall clock, a start time is not changed by the conversion.
func TestStartWithoutClockSteps(t *testing.T) {
	r, table := NewRegistry([]string{"a"}), addresses{}
	r.ObserveClocks(clockStart, clockStart+0.4)
	got := apply(t, r, table, snapshot(1, memberAt("s-1", "in_service", "127.0.0.1:78", int(clockStart-5000))))[0].StartedAt
	if got != clockStart-5000 {
		t.Errorf("start %v, want %v", got, clockStart-5000)
	}
}
