package node

import (
	"testing"

	"salttrack/balance"
	"salttrack/internal/settings"
)

// The longest deadline, which determines the schedule of a shutdown, is the maximum over the classes that new requests may use.
// A class that a reload has removed does not count, although requests in progress still use its number.
func TestLongestDeadlineOfCurrentClasses(t *testing.T) {
	s := settings.Settings{ClassNames: []string{"read", "removed"}}
	s.Classes = []balance.Class{{Deadline: 755}, {Deadline: 5000, Removed: true}}
	got := downstreamSettings(&s)
	if got.LongestDeadline != 755 {
		t.Errorf("longest deadline %v, want 755", got.LongestDeadline)
	}
	if _, listed := got.Classes["removed"]; listed || len(got.Idempotency) != 2 {
		t.Errorf("settings %+v, want class removed only in Idempotency", got)
	}
}
