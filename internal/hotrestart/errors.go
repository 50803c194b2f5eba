package hotrestart

import "fmt"

// RecordError reports that the stored record of a process can't be read.
type RecordError struct {
	Process string
	Err     error // one of the error types below, or an error of the operating system or of encoding/json
}

// Error returns the name of the process and the message of the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("hot restart record of process %s: %v", e.Process, e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// TruncatedError reports a record whose header line has no end, or whose text has another length than its header states.
type TruncatedError struct {
	InHeader bool
	Length   int // length of the incomplete header or of the text, in bytes
	Want     int // length of the text that the header states, in bytes
}

// Error returns a message with the lengths.
func (e *TruncatedError) Error() string {
	if e.InHeader {
		return fmt.Sprintf("header truncated after %d bytes", e.Length)
	}
	return fmt.Sprintf("text has %d bytes, but the header states %d", e.Length, e.Want)
}

// TooLongError reports a record file that is longer than the maximum size of a record.
type TooLongError struct{ Max int }

// Error returns a message with the maximum size.
func (e *TooLongError) Error() string { return fmt.Sprintf("record is longer than %d bytes", e.Max) }

// HeaderError reports a record with a malformed header line.
type HeaderError struct{ Header string }

// Error returns a message with the first 80 characters of the header line.
func (e *HeaderError) Error() string { return fmt.Sprintf("malformed header %.80q", e.Header) }

// FormatVersionError reports a record in another version of the storage format.
type FormatVersionError struct{ Version int }

// Error returns a message with the format version of the record and the supported one.
func (e *FormatVersionError) Error() string {
	return fmt.Sprintf("format version %d, only %d is supported", e.Version, formatVersion)
}

// ChecksumError reports a record whose text does not match the checksum in its header.
type ChecksumError struct{ Checksum, Want uint64 }

// Error returns a message with the checksum of the text and the one in the header.
func (e *ChecksumError) Error() string {
	return fmt.Sprintf("checksum is %016x, but the header states %016x", e.Checksum, e.Want)
}

// OverrideError reports a record with an override that has no upstream name or an infinite time. No process writes such a record.
type OverrideError struct {
	Upstream string
	Override Override
}

// Error returns a message with the name of the upstream and the override.
func (e *OverrideError) Error() string {
	return fmt.Sprintf("invalid override of upstream %q: %+v", e.Upstream, e.Override)
}

// StorageError reports a failed operation on the directory that holds the records.
type StorageError struct{ Err error }

// Error returns the message of the cause after a prefix.
// Operators' scripts read the prefix in responses of the admin server, so it must not change.
func (e *StorageError) Error() string { return fmt.Sprintf("handover: %v", e.Err) }

// Unwrap returns the cause.
func (e *StorageError) Unwrap() error { return e.Err }
