package discovery

import (
	"errors"
	"net/netip"
	"strings"
	"testing"

	"salttrack/balance"
)

func TestParseUpdate(t *testing.T) {
	u, err := ParseUpdate([]byte(snapshot(41, member("s-1", "in_service"), member("s-2", "terminating"))))
	if err != nil || u.Revision != 41 || !u.Snapshot || len(u.Endpoints) != 2 || u.Endpoints[1].State != balance.Draining {
		t.Fatalf("update %+v, error %v", u, err)
	}
	want := Endpoint{Name: "s-1", Address: netip.MustParseAddrPort("127.0.0.1:80"), Zone: "b", Cell: 3, State: balance.Ready, StartedAt: 1000}
	if u.Endpoints[0] != want {
		t.Errorf("endpoint %+v, want %+v", u.Endpoints[0], want)
	}
	if _, err := ParseUpdate([]byte(delta(1, `{"id":"s-1","phase":"terminated"}`))); err != nil {
		t.Errorf("a removed endpoint without an address is rejected: %v", err)
	}
}

func TestMalformedUpdates(t *testing.T) {
	ready := member("s", "in_service")
	for _, tt := range []struct {
		message string
		cause   error // nil for an error of the JSON decoder or of the address parser
	}{
		{"", nil},
		{"[]", nil},
		{"{", nil},
		{"{}", errNoMembers},
		{`{"revision":1,"complete":true}`, errNoMembers},
		{`{"revision":1,"members":null}`, errNoMembers},
		{`{"revision":1,"members":{}}`, nil},
		{`{"revision":-1}`, nil},
		{`{"revision":"x"}`, nil},
		{snapshot(1, member("", "in_service")), errMalformedMember},
		{snapshot(1, member("s", "resting")), errUnknownPhase},
		{snapshot(1, strings.Replace(ready, "127.0.0.1:80", "host:80", 1)), nil},
		{snapshot(1, strings.Replace(ready, "1000", "-5", 1)), errMalformedMember},
		{snapshot(1, strings.Replace(ready, `"cell":3`, `"cell":70000`, 1)), nil},
	} {
		_, err := ParseUpdate([]byte(tt.message))
		var protocolError *ProtocolError
		if !errors.As(err, &protocolError) || !errors.Is(err, MalformedUpdate) || protocolError.Cause == nil {
			t.Errorf("%s: %v, want a malformed update", tt.message, err)
		}
		if tt.cause != nil && !errors.Is(err, tt.cause) {
			t.Errorf("%s: %v, want %v", tt.message, err, tt.cause)
		}
	}
}

// The error texts are part of configuration errors, which operators read.
func TestErrorTextsOfMalformedUpdates(t *testing.T) {
	for message, want := range map[string]string{
		"":                 "discovery: EOF",
		"[]":               "discovery: json: cannot unmarshal array into Go value of type discovery.Update",
		"{":                "discovery: unexpected EOF",
		"{}":               `discovery: "members" is missing or null`,
		`{"members":{}}`:   "discovery: json: cannot unmarshal object into Go struct field Update.members of type []discovery.Member",
		`{"revision":-1}`:  "discovery: json: cannot unmarshal number -1 into Go struct field Update.revision of type uint64",
		`{"revision":"x"}`: "discovery: json: cannot unmarshal string into Go struct field Update.revision of type uint64",
		`{"members":[{"id":"","host_port":"127.0.0.1:80","phase":"in_service"}]}`:                   "discovery: member 0: id is empty, or up_since_ms is negative or infinite",
		`{"members":[{"id":"s","host_port":"127.0.0.1:80","phase":"resting"}]}`:                     `discovery: member "s": unknown phase "resting", want in_service, terminating or terminated`,
		`{"members":[{"id":"s","host_port":"host:80","phase":"in_service"}]}`:                       `discovery: member "s": ParseAddr("host"): unable to parse IP`,
		`{"members":[{"id":"s","host_port":"127.0.0.1:80","phase":"in_service","up_since_ms":-5}]}`: "discovery: member 0: id is empty, or up_since_ms is negative or infinite",
		`{"members":[{"id":"s","cell":70000}]}`:                                                     "discovery: json: cannot unmarshal number 70000 into Go struct field Member.members.cell of type uint16",
		`{"members":[{"id":5}]}`:                                                                    "discovery: json: cannot unmarshal number into Go struct field Member.members.id of type string",
	} {
		if _, err := ParseUpdate([]byte(message)); err == nil || err.Error() != want {
			t.Errorf("%s:\ngot  %v\nwant %s", message, err, want)
		}
	}
}

// Each update that is decoded can be applied to a registry, and a removed endpoint has no address afterwards.
func FuzzParseUpdate(f *testing.F) {
	f.Add([]byte(snapshot(41, member("s-1", "in_service"), member("s-2", "terminated"))))
	f.Add([]byte(`{"revision":1,"members":[{}]}`))
	f.Fuzz(func(t *testing.T, p []byte) {
		u, err := ParseUpdate(p)
		if err != nil {
			return
		}
		r, table := NewRegistry([]string{"a"}), addresses{}
		for _, e := range r.Apply(u, table).Endpoints {
			if _, listed := table[e.ID]; e.State == balance.Removed && listed && len(u.Endpoints) == 1 {
				t.Fatalf("%+v is removed and has an address", e)
			}
		}
	})
}
