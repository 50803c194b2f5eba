package settings

import (
	"reflect"
	"strings"
	"testing"

	"salttrack/balance"
	"salttrack/internal/settings/settingstest"
)

func TestReader(t *testing.T) {
	document, err := ParseLines([]byte("a.b=1.5\nlist=x,y\nempty=\nyes=true\nunknown.key=7\n"))
	if err != nil {
		t.Fatal(err)
	}
	r := &reader{document: document}
	if got := r.number("a.b"); got != 1.5 {
		t.Errorf("number %v, want 1.5", got)
	}
	if got := r.list("list"); len(got) != 2 {
		t.Errorf("list %v, want 2 items", got)
	}
	if got := r.list("empty"); len(got) != 0 {
		t.Errorf("empty list %v, want no items", got)
	}
	if !r.boolean("yes") {
		t.Error("boolean false, want true")
	}
	if got := r.optionalNumber("absent", 4); got != 4 {
		t.Errorf("optional number %v, want the default 4", got)
	}
	if r.err != nil {
		t.Error(r.err)
	}
}

func TestReaderErrors(t *testing.T) {
	number := func(r *reader) { r.number("zone") }
	integer := func(r *reader) { r.integer("zone") }
	for _, tt := range []struct {
		text string
		read func(r *reader)
		want string
	}{
		{"", number, "setting zone is missing"},
		{"zone=x", number, `zone="x" is not a number`},
		{"zone=-1", integer, "is not an integer from 0"},
		{"zone=1e99", integer, "is not an integer from 0"},
		{"flag=maybe", func(r *reader) { r.boolean("flag") }, "is not a boolean"},
	} {
		document, err := ParseLines([]byte(tt.text))
		if err != nil {
			t.Fatal(err)
		}
		r := &reader{document: document}
		tt.read(r)
		if r.err == nil || !strings.Contains(r.err.Error(), tt.want) {
			t.Errorf("%q: %v, want %q", tt.text, r.err, tt.want)
		}
	}
	if _, err := ParseLines([]byte("nonsense")); err == nil || !strings.Contains(err.Error(), "line 1 has no '='") {
		t.Errorf("a line without '=': %v", err)
	}
}

// A string in JSON settings is accepted neither as a number nor as a boolean, even if its text is one.
func TestStringsOfJSON(t *testing.T) {
	document, err := ParseJSON([]byte(`{"a":"5","b":5,"c":"true","d":true}`))
	if err != nil {
		t.Fatal(err)
	}
	r := &reader{document: document}
	if r.number("b") != 5 || !r.boolean("d") || r.err != nil {
		t.Error(r.err)
	}
	if r.number("a"); r.err == nil {
		t.Error("a string is accepted as a number")
	}
	r = &reader{document: document}
	if r.boolean("c"); r.err == nil {
		t.Error("a string is accepted as a boolean")
	}
}

func TestDecode(t *testing.T) {
	s, err := decodeSettings(settingstest.Lines("report.columns=util,inflight", "discovery=ask", "tenants.count=1",
		"tenants.0.quota_per_s=40.5", "over_share_worth=0.1", "limits.retry_after=false"))
	if err != nil {
		t.Fatal(err)
	}
	if s.InFlightColumn != 1 || !s.PollEndpoints || s.MaxRetryAfter != 0 || s.OverQuotaWeight != 0.1 {
		t.Errorf("%+v", s)
	}
	if len(s.TenantQuota) != 1 || s.TenantQuota[0] != 40.5 {
		t.Errorf("tenant quotas %v, want [40.5]", s.TenantQuota)
	}
	if s.Classes[0].Idempotency != balance.Idempotent {
		t.Errorf("class %+v, want an idempotent one", s.Classes[0])
	}
	withKey := s.Classes[1]
	if withKey.Idempotency != balance.WithIdempotencyKey || withKey.DeduplicationScope != balance.ScopeCell ||
		withKey.DeduplicationWindow != 7000 {
		t.Errorf("class %+v, want one with an idempotency key, cell scope and a window of 7000 ms", withKey)
	}
}

func TestDecodeDefaults(t *testing.T) {
	s, err := decodeSettings(settingstest.Lines("tenants="))
	if err != nil || s.InFlightColumn != -1 || len(s.TenantQuota) != 0 || s.TierCount != 1 {
		t.Errorf("error %v, settings %+v; want no in-flight column, no tenants and one tier", err, s)
	}
	if s.ConnectTimeout != 250 || s.KeepAlive != 15000 || s.OverQuotaWeight != 1 {
		t.Errorf("%+v", s)
	}
}

func TestInvalidSettings(t *testing.T) {
	for _, tt := range []struct{ change, want string }{
		{"limits.max_attempts=0", "limits.max_attempts"},
		{"classes.0.deadline_ms=0", "classes.0.deadline_ms"},
		{"classes.1.deadline_ms=-5", "classes.1.deadline_ms"},
		{"classes.1.deadline_ms=NaN", "classes.1.deadline_ms"},
		{"classes.0.on_time_ms=0", "classes.0.on_time_ms"},
		{"classes.1.window_ms=0", "classes.1.window_ms"},
		{"classes.count=0", "classes has 0"},
		{"classes.count=3", "classes.2"},
		{"classes.1.name=read", "already the name of another class"},
	} {
		_, err := decodeSettings(settingstest.Lines("classes.0.name=read", "classes.1.name=pay", tt.change))
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one that contains %q", tt.change, err, tt.want)
		}
	}
}

// The same settings are decoded from path=value lines and from JSON.
func TestSourcesAgree(t *testing.T) {
	lines, err := decodeSettings("me=1\nreplicas_of_me=2\nzone=a_b\ndcs=a_b,c\ndiscovery=push\ngranularity_ms=5.0\n" +
		"invariants.start_capacity=0.2\ninvariants.cold_ms=9\ninvariants.fall_multiple=3\ninvariants.fall_ms=1\n" +
		"limits.max_attempts=4\nlimits.cancel=true\nlimits.second_copies=true\nlimits.retry_after=false\n" +
		"classes.count=1\nclasses.0.name=x_y\nclasses.0.on_time_ms=8\nclasses.0.deadline_ms=20\nclasses.0.worth=1\n" +
		"classes.0.idempotency=fragile\n")
	if err != nil {
		t.Fatal(err)
	}
	document, err := ParseJSON([]byte(`{"me":1,"replicas_of_me":2,"zone":"a b","dcs":["a,b","c"],"discovery":"push","granularity_ms":5.0,
		"invariants":{"start_capacity":0.2,"cold_ms":9,"fall_multiple":3,"fall_ms":1},
		"limits":{"max_attempts":4,"cancel":true,"second_copies":true,"retry_after":false},
		"classes":[{"name":"x y","on_time_ms":8,"deadline_ms":20,"worth":1,"idempotency":"fragile"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if fromJSON, err := Decode(document); err != nil || !reflect.DeepEqual(fromJSON, lines) {
		t.Errorf("error %v\nfrom JSON  %+v\nfrom lines %+v", err, fromJSON, lines)
	}
}

func FuzzLines(f *testing.F) {
	f.Add([]byte("a=1\nb=x,y\n"))
	f.Add([]byte("=\n\n=="))
	f.Fuzz(func(t *testing.T, text []byte) {
		document, err := ParseLines(text)
		if err != nil {
			return
		}
		r := &reader{document: document}
		if number := r.integer("a"); number < 0 || number > 1<<20 {
			t.Fatalf("integer %d", number)
		}
		r.boolean("b")
		r.list("b")
		Decode(document)
	})
}
