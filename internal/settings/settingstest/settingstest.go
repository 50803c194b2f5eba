// Package settingstest provides valid settings and helpers for tests of code that reads settings.
package settingstest

import (
	"fmt"
	"strings"
	"testing"
)

// CheckErrorText reports a test error unless the text of err equals want. An empty want stands for no error.
func CheckErrorText(t *testing.T, name string, err error, want string) {
	t.Helper()
	got := ""
	if err != nil {
		got = err.Error()
	}
	if got != want {
		t.Errorf("%s:\ngot  %s\nwant %s", name, got, want)
	}
}

// Lines returns valid settings, with all that are required, as path=value lines. A change of the form path=value sets a
// setting, and one of the form path= removes it.
func Lines(changes ...string) string {
	lines := map[string]string{
		"me": "1", "replicas_of_me": "2", "zone": "0", "stage": "0", "discovery": "push", "granularity_ms": "5.0",
		"invariants.start_capacity": "0.2", "invariants.cold_ms": "9000.0", "invariants.fall_multiple": "3.0",
		"invariants.fall_ms": "1500.0", "limits.max_attempts": "4", "limits.cancel": "true",
		"limits.second_copies": "true", "limits.retry_after": "true", "limits.max_retry_after_ms": "2000.0",
		"report.columns": "util,latency_ms", "classes.count": "2", "some.other.key": "x",
		"classes.0.on_time_ms": "800.0", "classes.0.deadline_ms": "2000.0", "classes.0.worth": "12.0",
		"classes.0.idempotency": "retryable", "classes.1.on_time_ms": "1200.0", "classes.1.deadline_ms": "3000.0",
		"classes.1.worth": "1.0", "classes.1.idempotency": "dedup", "classes.1.group": "cell", "classes.1.window_ms": "7000.0",
	}
	for _, change := range changes {
		path, value, _ := strings.Cut(change, "=")
		lines[path] = value
		if value == "" {
			delete(lines, path)
		}
	}
	var text strings.Builder
	for path, value := range lines {
		fmt.Fprintf(&text, "%s=%s\n", path, value)
	}
	return text.String()
}
