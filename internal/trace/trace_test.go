package trace

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"salttrack/balance"
	"salttrack/internal/counter"
)

// fixture is a tracer with a clock that the test sets and an output that the test reads.
type fixture struct {
	output   bytes.Buffer
	now      balance.Millis
	counters counter.Set
	tracer   *Tracer
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{now: 1e12}
	log := logrus.New()
	log.SetOutput(&f.output)
	log.SetFormatter(&logrus.JSONFormatter{DisableTimestamp: true})
	f.tracer = New(logrus.NewEntry(log), func() balance.Millis { return f.now }, &f.counters)
	f.tracer.UpstreamName = func(balance.UpstreamID) string { return "s-1" }
	return f
}

// enable enables the trace, and discards the log line of that change.
func (f *fixture) enable() {
	f.tracer.SetEnabled(true)
	f.output.Reset()
}

// A line has exactly the fields that are set. A disabled or nil tracer writes nothing.
func TestWrite(t *testing.T) {
	f := newFixture(t)
	(*Tracer)(nil).Write(AttemptSent, Event{})
	f.tracer.Write(AttemptSent, Event{Request: "not written"})
	if f.output.Len() > 0 {
		t.Errorf("disabled tracer wrote %s", f.output.String())
	}
	f.enable()
	f.tracer.Write(AttemptEnded, Event{Request: "7", Upstream: 9, Attempt: 2, Connection: 5, Outcome: "connection_reset", ElapsedMS: 1.5})
	var got map[string]any
	if err := json.Unmarshal(f.output.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{"level": "info", "msg": "attempt ended", "request": "7", "upstream": "s-1", "attempt": 2.0,
		"connection": 5.0, "outcome": "connection_reset", "elapsed_ms": 1.5}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// The rate of lines is limited, and suppressed lines are counted.
func TestRateLimit(t *testing.T) {
	f := newFixture(t)
	f.enable()
	const lines = 10000
	for range lines {
		f.tracer.Write(RequestAccepted, Event{Request: "7"})
	}
	suppressed, _ := f.counters.Value("trace_suppressed")
	if written := bytes.Count(f.output.Bytes(), []byte("\n")); written != maxBurstLines || suppressed != lines-maxBurstLines {
		t.Errorf("%d lines written, %d suppressed", written, suppressed)
	}
	f.output.Reset()
	f.now += 1000
	for range lines {
		f.tracer.Write(RequestAccepted, Event{Request: "7"})
	}
	if written := bytes.Count(f.output.Bytes(), []byte("\n")); written != linesPerSecond {
		t.Errorf("%d lines written a second later, want %d", written, int(linesPerSecond))
	}
}
