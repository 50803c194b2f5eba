package http1

import (
	"errors"
	"fmt"
)

// Error is the error of a message that is malformed, not supported or not allowed.
type Error struct {
	Status int    // status code of the response to a request with this error
	Reason string // text of the error
}

// Error returns the text of the error.
func (e *Error) Error() string { return e.Reason }

// StatusOf returns the status code of the response to a request whose decoding has failed with err.
// It is 400 if err is not an *Error.
func StatusOf(err error) int {
	if e := (*Error)(nil); errors.As(err, &e) {
		return e.Status
	}
	return StatusBadRequest
}

// Errors that the decoders return.
var (
	errHeadTooLarge         = &Error{StatusHeaderFieldsTooLarge, "head too large"}
	errNoMemoryForHead      = &Error{StatusServiceUnavailable, "no memory for a long head"}
	errBodyTooLarge         = &Error{StatusContentTooLarge, "body too large"}
	errUnknownCoding        = &Error{StatusNotImplemented, "transfer coding not known"}
	errUnknownExpectation   = &Error{StatusExpectationFailed, "expectation not known"}
	errVersionNotSupported  = &Error{StatusVersionNotSupported, "not HTTP/1"}
	errTooManyInterim       = &Error{StatusBadRequest, "too many interim answers"}
	errUnexpectedUpgrade    = &Error{StatusBadRequest, "protocol switched"}
	errLengthAndCoding      = &Error{StatusBadRequest, "both a length and a transfer coding"}
	errChunkExceedsSize     = &Error{StatusBadRequest, "chunk longer than its size"}
	errChunkedInHTTP10      = &Error{StatusBadRequest, "chunks in HTTP/1.0"}
	errBareLF               = &Error{StatusBadRequest, "line ends in a bare LF"}
	errControlCharacter     = &Error{StatusBadRequest, "control character in a line"}
	errAmbiguousPath        = &Error{StatusBadRequest, "ambiguous path"}
	errMalformedChunkSize   = malformed("chunk size")
	errMalformedField       = malformed("field")
	errMalformedFieldName   = malformed("field name")
	errMalformedRequestLine = malformed("request line")
	errMalformedMethod      = malformed("method")
	errMalformedTarget      = malformed("target")
	errMalformedStatusLine  = malformed("status line")
	errMalformedStatus      = malformed("status")
)

// malformed returns the error of a message in which the named part is malformed.
func malformed(what string) error { return &Error{StatusBadRequest, "malformed " + what} }

// repeated returns the error of a request in which a field that may have only one value has two different ones.
func repeated(field string) error {
	return &Error{StatusBadRequest, fmt.Sprintf("%s given twice", field)}
}
