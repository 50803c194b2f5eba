package simwire

import (
	"slices"
	"testing"
)

func TestEvents(t *testing.T) {
	batch := mustReadBatch(t, threeEventBatch, 3)
	checkEvent(t, batch, 0, 3, RequestArrived{
		Request:      0x5d3a91c4,
		Key:          0x91f03b7c55d20a64,
		ExpiresIn:    240,
		ExpectedWork: 12,
		Flags:        HasExpectedWork,
	})
	checkEvent(t, batch, 1, 3, TimerFired{Timer: 77})
	checkEvent(t, batch, 2, 5, ClientCancelled{Request: 0x0e6f2b19})
}

func TestEndpointList(t *testing.T) {
	batch := mustReadBatch(t, endpointListBatch, 2)
	_, event, err := batch.Event(0)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, ok := event.(*EndpointSnapshot)
	if !ok {
		t.Fatalf("%T", event)
	}
	want := []Endpoint{
		{Upstream: 0x03124a07, State: EndpointReady, Size: 1},
		{Upstream: 0x2c9011f2, Zone: 1, State: EndpointReady, Size: 1.5, StartedAt: 6100},
	}
	if got := snapshot.AppendEndpoints(nil); !slices.Equal(got, want) {
		t.Errorf("endpoints %+v, want %+v", got, want)
	}
	checkEvent(t, batch, 1, 3, EndpointUpdate{Kind: Cached, Version: 41})
}

func TestAttemptEnded(t *testing.T) {
	batch := mustReadBatch(t, attemptEndedBatch, 1)
	checkEvent(t, batch, 0, 3, AttemptEnded{
		Request:     0x5d3a91c4,
		Upstream:    0x03124a07,
		Outcome:     OutcomeOK,
		Elapsed:     18.5,
		RequestDone: true,
		LoadReport:  NewLoadReport(0.62, 14.5),
	})
}

func TestLoadReportColumns(t *testing.T) {
	report := NewLoadReport(0.5, 7)
	for _, tt := range []struct {
		column int
		want   float64
		ok     bool
	}{{0, 0.5, true}, {1, 7, true}, {2, 0, false}, {-1, 0, false}} {
		if got, ok := report.Value(tt.column); got != tt.want || ok != tt.ok {
			t.Errorf("column %d: %v %v", tt.column, got, ok)
		}
	}
}

// Decoding the events of a batch allocates no memory.
func TestDecodingDoesNotAllocate(t *testing.T) {
	for _, text := range []string{threeEventBatch, endpointListBatch, attemptEndedBatch} {
		batch, err := readBatch(fromHex(t, text))
		if err != nil {
			t.Fatal(err)
		}
		allocations := testing.AllocsPerRun(100, func() {
			for i := range batch.Len() {
				if _, _, err := batch.Event(i); err != nil {
					t.Fatal(err)
				}
			}
		})
		if allocations != 0 {
			t.Errorf("%v allocations for %d events", allocations, batch.Len())
		}
	}
}
