package hotrestart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// formatVersion is the version of the storage format. A stored record is a header line followed by the text, which is the Record in JSON.
// The header has the format version, the length of the text in bytes and the XXH64 checksum of the text.
const formatVersion = 1

// Formats of the header line for fmt.Appendf and fmt.Sscanf.
const (
	headerFormat = "salttrack-handover %d %d %016x\n"
	headerScan   = "salttrack-handover %d %d %x"
)

// encode returns a record in the storage format.
func encode(r Record) ([]byte, error) {
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	header := fmt.Appendf(nil, headerFormat, formatVersion, len(text), xxhash.Sum64(text))
	return append(header, text...), nil
}

// decode parses a record in the storage format. The error is one of the types in errors.go or wraps an error of encoding/json.
func decode(stored []byte) (Record, error) {
	header, text, found := bytes.Cut(stored, []byte("\n"))
	if !found {
		return Record{}, &TruncatedError{InHeader: true, Length: len(stored)}
	}
	if err := checkHeader(string(header), text); err != nil {
		return Record{}, err
	}
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, fmt.Errorf("text: %w", err)
	}
	for upstream, o := range r.Overrides {
		if upstream == "" || math.IsInf(o.SetAt, 0) || math.IsInf(o.SetAtUptime, 0) {
			return Record{}, &OverrideError{Upstream: upstream, Override: o}
		}
	}
	return r, nil
}

// checkHeader checks the format version in the header of a record, and the length and checksum of its text.
func checkHeader(header string, text []byte) error {
	var version, length int
	var checksum uint64
	if _, err := fmt.Sscanf(header, headerScan, &version, &length, &checksum); err != nil {
		return &HeaderError{Header: header}
	}
	if version != formatVersion {
		return &FormatVersionError{Version: version}
	}
	if length != len(text) {
		return &TruncatedError{Length: len(text), Want: length}
	}
	if sum := xxhash.Sum64(text); sum != checksum {
		return &ChecksumError{Checksum: sum, Want: checksum}
	}
	return nil
}
