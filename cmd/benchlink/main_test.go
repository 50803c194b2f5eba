package main

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"

	"salttrack/balance"
	"salttrack/internal/settings"
	"salttrack/internal/settings/settingstest"
	"salttrack/internal/simwire"
)

// countCode returns how many times a code occurs.
func countCode(codes []byte, code byte) int { return bytes.Count(codes, []byte{code}) }

func TestForwardThenReject(t *testing.T) {
	in := &input{}
	in.batch(1000) // an empty batch is valid
	in.instanceStarted(3, settingstest.Lines())
	in.endpointSnapshot(0, 11, 12)
	in.endpointUpdate(3, 0, updateCached)
	in.batch(1005)
	in.requestArrived(3, 501)
	in.batch(1010)
	in.event(eventAttemptEnded, uint16(3), uint32(501), uint16(0), uint32(11), uint16(simwire.OutcomeOverloaded), float64(5), uint8(0))
	in.batch(1015)
	got := actionCodes(t, in)
	if len(got) != 4 || len(got[0]) != 0 || !slices.Equal(got[2], []byte{actionForwardRequest}) ||
		!slices.Equal(got[3], []byte{actionRejectRequest}) {
		t.Errorf("codes %v; want a forwarded request, then a rejection (there is no budget for a retry yet)", got)
	}
}

// An endpoint update uses the last snapshot with its list number that precedes it, even within one batch.
func TestUpdateUsesLastSnapshot(t *testing.T) {
	in := &input{}
	in.instanceStarted(1, settingstest.Lines())
	in.endpointSnapshot(4, 11)
	in.endpointUpdate(1, 4, updateComplete)
	in.instanceStarted(2, settingstest.Lines())
	in.endpointSnapshot(4) // the same number again, now empty
	in.endpointUpdate(2, 4, updateComplete)
	in.requestArrived(1, 501)
	in.requestArrived(2, 502)
	in.event(eventInstanceKilled, uint16(1)) // the instance is started again in the same batch
	in.instanceStarted(1, settingstest.Lines())
	in.endpointUpdate(1, 4, updateCached)
	in.batch(1000)
	codes := actionCodes(t, in)[0]
	if countCode(codes, actionForwardRequest) != 1 || countCode(codes, actionRejectRequest) != 1 {
		t.Errorf("codes %v; want one forwarded request and one rejection", codes)
	}
}

func TestInvalidInput(t *testing.T) {
	withSettings := func(change string) func(*input) {
		return func(in *input) { in.instanceStarted(1, settingstest.Lines(change)) }
	}
	tests := []struct {
		name   string
		fill   func(*input)
		want   string
		record int
		cause  error
	}{
		{"unknown instance", func(in *input) { in.event(eventClientCancelled, uint16(9), uint32(1)) },
			"batch 1, record 0: unknown instance 9", 0, errUnknownInstance},
		{"missing setting", withSettings("zone="), "batch 1, record 0: setting zone is missing", 0, settings.ErrMissing},
		{"malformed setting", withSettings("classes.1.worth=dear"),
			`batch 1, record 0: setting classes.1.worth="dear" is not a number`, 0, settings.ErrNotNumber},
		{"unknown value", withSettings("discovery=guess"),
			`batch 1, record 0: setting discovery="guess" is not one of the allowed values: ask, push`, 0, settings.ErrUnknownValue},
		{"many classes", withSettings("classes.count=1048576"),
			"batch 1, record 0: setting classes.2.on_time_ms is missing", 0, settings.ErrMissing},
		{"line without an equals sign", func(in *input) { in.instanceStarted(1, "nonsense") },
			"batch 1, record 0: settings line 1 has no '='", 0, nil},
		{"unknown outcome", func(in *input) {
			in.instanceStarted(1, settingstest.Lines())
			in.event(eventAttemptEnded, uint16(1), uint32(1), uint16(0), uint32(1), uint16(999))
		}, "batch 1, record 1: unknown outcome 999", 1, errUnknownOutcome},
	}
	for _, tt := range tests {
		in := &input{}
		tt.fill(in)
		in.batch(1000)
		err := run(in, &bytes.Buffer{})
		if err == nil || err.Error() != tt.want {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.want)
		}
		var record *simwire.RecordError
		if !errors.As(err, &record) || record.Batch != 1 || record.Record != tt.record {
			t.Errorf("%s: %#v", tt.name, err)
		}
		if tt.cause != nil && !errors.Is(err, tt.cause) {
			t.Errorf("%s: %v is not %v", tt.name, err, tt.cause)
		}
	}
}

// An input that ends right after the header of a frame is an error, not the regular end of the input.
func TestIncompleteFrame(t *testing.T) {
	in := &input{}
	in.requestArrived(1, 1)
	in.batch(1000)
	in.Truncate(batchHeaderSize)
	const want = "batch 1: incomplete frame of 68 bytes: EOF"
	if err := run(in, &bytes.Buffer{}); err == nil || err.Error() != want {
		t.Errorf("%v, want %q", err, want)
	}
}

// A panic of package balance is reported to the simulator with its text and does not end the process.
func TestPanicIsReported(t *testing.T) {
	var reply simwire.Reply
	var out bytes.Buffer
	h := newHost()
	if err := h.deliver(instance{}, 4, &simwire.TimerFired{}, 1000, &reply); err != nil {
		t.Fatal(err)
	}
	if err := reply.Write(&out, 1); err != nil {
		t.Fatal(err)
	}
	action := out.Bytes()[replyHeaderSize:]
	if action[0] != actionReportPanic || action[1] != 4 || !strings.Contains(out.String(), "nil pointer") {
		t.Errorf("reply %q; want the text of the panic", out.Bytes())
	}
}

func TestLoadReport(t *testing.T) {
	event := simwire.AttemptEnded{Outcome: simwire.OutcomeOK, LoadReport: simwire.NewLoadReport(0.5, 7)}
	for _, tt := range []struct {
		column   int
		reported bool
		inFlight float64
	}{{1, true, 7}, {-1, false, 0}, {2, false, 0}} {
		got, err := attemptEnded(&event, tt.column)
		if err != nil || got.LoadReported != tt.reported || got.ReportedInFlight != tt.inFlight {
			t.Errorf("in-flight column %d: error %v, event %+v", tt.column, err, got)
		}
	}
}

// An endpoint state that is not defined in the protocol is converted to draining.
func TestEndpointStates(t *testing.T) {
	for state, want := range map[simwire.EndpointState]balance.EndpointState{
		0: balance.Removed, 1: balance.Ready, 2: balance.Draining, 3: balance.Draining, 255: balance.Draining,
	} {
		if got := endpointState(state); got != want {
			t.Errorf("state %d is %v, want %v", state, got, want)
		}
	}
}
