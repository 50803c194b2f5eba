package scenario

import (
	"errors"
	"io/fs"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"salttrack/internal/simulation/names"
)

// TestRoundTrip checks that parsing the text of a marshalled scenario returns an equal scenario.
func TestRoundTrip(t *testing.T) {
	for seed := range uint64(200) {
		s := Generate(seed, Options{})
		again, err := Parse("x.toml", s.Marshal())
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, s.Marshal())
		}
		if d := cmp.Diff(s, again); d != "" {
			t.Fatalf("seed %d: the parsed scenario differs from the marshalled one: %s", seed, d)
		}
	}
}

// TestGenerate checks that equal arguments give equal scenarios, and that only faults of the given types are generated.
func TestGenerate(t *testing.T) {
	if d := cmp.Diff(Generate(5, Options{}), Generate(5, Options{})); d != "" {
		t.Errorf("two scenarios of the same seed differ: %s", d)
	}
	types := []names.FaultType{names.PartitionWithReset, names.StallBalancer}
	for _, f := range Generate(9, Options{FaultTypes: types}).Faults {
		if f.Type != names.PartitionWithReset && f.Type != names.StallBalancer {
			t.Errorf("fault of type %s, want one of %v", f.Type, types)
		}
	}
}

// invalidScenarios returns texts of invalid scenarios, with the path of the error and a part of its reason.
func invalidScenarios() []struct{ name, text, path, reason string } {
	valid := string(Generate(1, Options{}).Marshal())
	head, _, _ := strings.Cut(valid, "[[fault]]")
	replace := func(from, to string) string { return strings.Replace(valid, from, to, 1) }
	fault := func(lines ...string) string { return head + "[[fault]]\n" + strings.Join(lines, "\n") + "\n" }
	const start, duration = "at = 1.0", "for = 1.0"
	return []struct{ name, text, path, reason string }{
		{"not TOML", "seed = = 3", "", ""},
		{"unknown key", replace("tiers =", "teirs ="), "world.teirs", "unknown key"},
		{"version", replace("version = 1", "version = 9"), "version", "9 is not within 1 to 1"},
		{"wrong type", replace("calls = ", "calls = 'x' # "), "world.calls", ""},
		{"no upstreams", replace("upstreams = 10", "upstreams = 0"), "world.upstreams", "0 is not within 1 to 200"},
		{"duplicate zone", replace("'west'", "'east'"), "world.zones", `zone "east" is listed twice`},
		{"zone with a separator", replace("'west'", "'a|b'"), "world.zones", `"a|b" is empty or contains a comma, a slash, a space or "|"`},
		{"unknown fault type", fault("id = 'a'", "kind = 'quake'", start, duration),
			"fault[0].kind", `unknown fault type "quake"; allowed are slow,`},
		{"no id", fault("id = ''", "kind = 'hup'", start, duration, "target = 'b0'"),
			"fault[0].id", `ID "" is empty`},
		{"start after the end of the load", fault("id = 'a'", "kind = 'hup'", "at = 31.0", duration, "target = 'b0'"),
			"fault[0].at", "31 is not within 0 to 30, the duration of the load"},
		{"start is not a number", fault("id = 'a'", "kind = 'errors'", "at = nan", duration, "target = 'u0-1'"),
			"fault[0].at", "NaN"},
		{"size", fault("id = 'a'", "kind = 'errors'", start, duration, "target = 'u0-1'", "size = 2.0"),
			"fault[0].size", "2 is not within 0 to 1 (fraction of requests)"},
		{"unknown upstream", fault("id = 'a'", "kind = 'hang'", start, duration, "target = 'u0-99'"),
			"fault[0].target", "allowed are u0-0 to u"},
		{"unknown balancer", fault("id = 'a'", "kind = 'kill'", start, duration, "target = 'u0-1'"),
			"fault[0].target", "allowed are b0 to b2"},
		{"unknown zone", fault("id = 'a'", "kind = 'cut'", start, duration, "target = 'east|moon'"),
			"fault[0].target", "is not a pair of zones"},
		{"fault type without a target", fault("id = 'a'", "kind = 'surge'", start, duration, "target = 'b0'", "size = 2.0"),
			"fault[0].target", "takes no target"},
	}
}

// TestParseError checks that Parse returns an error with file, path and reason for an invalid scenario.
func TestParseError(t *testing.T) {
	for _, tt := range invalidScenarios() {
		_, err := Parse("x.toml", []byte(tt.text))
		var invalid *Error
		if !errors.As(err, &invalid) {
			t.Errorf("%s: error %v, want an *Error", tt.name, err)
			continue
		}
		if invalid.File != "x.toml" || invalid.Path != tt.path || !strings.Contains(invalid.Reason, tt.reason) {
			t.Errorf("%s: %q, want path %q and reason %q", tt.name, err, tt.path, tt.reason)
		}
		if !strings.HasPrefix(err.Error(), "x.toml") || !strings.HasSuffix(err.Error(), invalid.Reason) {
			t.Errorf("%s: %q does not begin with the file or end with the reason", tt.name, err)
		}
	}
}

// TestErrorLine checks that an error has the line of the invalid value, or the line of the [[fault]] header for a fault.
func TestErrorLine(t *testing.T) {
	head, _, _ := strings.Cut(string(Generate(1, Options{}).Marshal()), "[[fault]]")
	for _, tt := range []struct {
		name, text string
		line       int
	}{
		{"syntax", "seed = = 3", 1},
		{"first line", strings.Replace(head, "version = 1", "version = 9", 1), 1},
		{"fault", head + "[[fault]]\nid = 'a'\nkind = 'quake'\nat = 1.0\nfor = 1.0\n", strings.Count(head, "\n") + 1},
	} {
		_, err := Parse("x.toml", []byte(tt.text))
		var invalid *Error
		if !errors.As(err, &invalid) || invalid.Line != tt.line {
			t.Errorf("%s: error %v, want an *Error with line %d", tt.name, err, tt.line)
		}
	}
}

// TestLoadMissingFile checks that Load returns the error of the file system for a file that does not exist.
func TestLoadMissingFile(t *testing.T) {
	if _, err := Load("/nowhere/x.toml"); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v, want %v", err, fs.ErrNotExist)
	}
}

// FuzzParse checks that each scenario that Parse returns can be marshalled and parsed again, without a change.
func FuzzParse(f *testing.F) {
	f.Add(Generate(1, Options{}).Marshal())
	f.Add(Generate(394, Options{Seconds: 3}).Marshal())
	f.Add([]byte("version = 1\n[[fault]]\nkind='cut'\n"))
	f.Add([]byte("seed = 99999999999999999999"))
	f.Fuzz(func(t *testing.T, p []byte) {
		s, err := Parse("x", p)
		if err != nil {
			return
		}
		again, err := Parse("x", s.Marshal())
		if err != nil {
			t.Fatalf("%v\n%s", err, s.Marshal())
		}
		if d := cmp.Diff(s, again); d != "" {
			t.Fatalf("the parsed scenario differs from the marshalled one: %s", d)
		}
	})
}
