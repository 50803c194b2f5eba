package http1

import "testing"

// LoadReportValue has to find values by their exact names and to ignore those that are not valid numbers.
func TestLoadReportValue(t *testing.T) {
	for _, tt := range []struct {
		report string
		want   float64
		ok     bool
	}{{"inflight=7,queue=2,util=0.61", 7, true}, {"queue=2, inflight=0.5", 0.5, true}, {"", 0, false}, {"inflight=x", 0, false},
		{"inflight=NaN", 0, false}, {"inflight=-1", 0, false}, {"xinflight=3", 0, false}} {
		if got, ok := LoadReportValue(tt.report, "inflight"); ok != tt.ok || ok && got != tt.want {
			t.Errorf("%q: got %v, %v, want %v, %v", tt.report, got, ok, tt.want, tt.ok)
		}
	}
}
