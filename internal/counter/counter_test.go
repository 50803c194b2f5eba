package counter

import "testing"

func TestSet(t *testing.T) {
	var s Set
	requests := s.New("requests")
	s.New("retries")
	s.Gauge("connections", func() uint64 { return 7 })
	requests.Inc()
	requests.Inc()
	if got := s.String(); got != "requests=2 retries=0 connections=7" {
		t.Errorf("String() = %q", got)
	}
	for name, want := range map[string]uint64{"requests": 2, "retries": 0, "connections": 7} {
		if v, ok := s.Value(name); !ok || v != want {
			t.Errorf("Value(%q) = %d, %v, want %d", name, v, ok, want)
		}
	}
	if _, ok := s.Value("unknown"); ok {
		t.Error("Value returns a counter that was never added")
	}
}
