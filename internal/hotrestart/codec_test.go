package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
)

// testRecord returns the record of a ready process.
func testRecord(overrides map[string]Override) Record {
	return Record{Ready: true, Overrides: overrides}
}

// Decoding fails for a record that is truncated at any byte or has another format version.
// A record with a changed byte is never decoded to a different record.
func TestDecodeRejectsDamagedRecords(t *testing.T) {
	want := testRecord(map[string]Override{
		"s-1":    {Disabled: true, SetAt: 1e12, Version: 1 << 62, SetAtUptime: 7.5},
		"a/ü \n": {SetAt: 5},
	})
	stored, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(stored)
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("decoding an encoded record: error %v, difference (-want +got) %s", err, diff)
	}
	for i := range stored {
		if _, err := decode(stored[:i]); err == nil {
			t.Errorf("a record that is truncated after %d bytes is decoded", i)
		}
		changed := append([]byte(nil), stored...)
		if changed[i] ^= 1; stored[i] != ' ' && i > len("salttrack-handover 1 ") {
			if r, err := decode(changed); err == nil && !cmp.Equal(r, want) {
				t.Errorf("with byte %d changed, the record is decoded as %+v", i, r)
			}
		}
	}
	for _, version := range []string{"0", "2", "x"} {
		if _, err := decode([]byte(strings.Replace(string(stored), "handover 1 ", "handover "+version+" ", 1))); err == nil {
			t.Errorf("a record of format version %s is decoded", version)
		}
	}
}

// Each kind of invalid record has its own error type.
func TestDecodeErrors(t *testing.T) {
	encoded := func(upstream string, o Override) string {
		stored, err := encode(testRecord(map[string]Override{upstream: o}))
		if err != nil {
			t.Fatal(err)
		}
		return string(stored)
	}
	valid := encoded("s-1", Override{SetAt: 5})
	for name, tt := range map[string]struct {
		stored string
		target any
	}{
		"truncated header":        {valid[:10], new(*TruncatedError)},
		"truncated text":          {valid[:len(valid)-1], new(*TruncatedError)},
		"longer text":             {valid + " ", new(*TruncatedError)},
		"malformed header":        {"salttrack-handover 1 x\n{}", new(*HeaderError)},
		"format version 2":        {strings.Replace(valid, " 1 ", " 2 ", 1), new(*FormatVersionError)},
		"changed text":            {strings.Replace(valid, "s-1", "s-2", 1), new(*ChecksumError)},
		"override without a name": {encoded("", Override{}), new(*OverrideError)},
		"array for an object":     {fmt.Sprintf(headerFormat, formatVersion, 2, xxhash.Sum64String("[]")) + "[]", new(*json.UnmarshalTypeError)},
	} {
		_, err := decode([]byte(tt.stored))
		if !errors.As(err, tt.target) {
			t.Errorf("%s: %T %v, want %T", name, err, err, tt.target)
		}
	}
	if _, err := encode(testRecord(map[string]Override{"s-1": {SetAt: math.Inf(1)}})); err == nil {
		t.Error("a record with an infinite time is encoded")
	}
}
