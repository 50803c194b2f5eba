package settings

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
)

// maxInteger is the highest value of a count or an index.
// It fits in an int and limits the memory that is allocated for lists.
const maxInteger = 1 << 20

// reader reads typed values from a document. It returns the zero value for a missing or malformed value.
// It records only the first error.
type reader struct {
	document *Document
	err      error // the first error, an *Error
}

// fail records an error for the value at a path, unless an earlier error has been recorded.
// The parameters reason and allowed are the fields Reason and Allowed of the error.
func (r *reader) fail(path string, reason error, allowed string) {
	if r.err == nil {
		r.err = &Error{Path: path, Value: r.document.values[path].text, Allowed: allowed, Reason: reason}
	}
}

// required returns the value at a path, whatever its type. It is an error if there is none.
func (r *reader) required(path string) value {
	value, ok := r.document.values[path]
	if !ok {
		r.fail(path, ErrMissing, "")
	}
	return value
}

// number returns the number at a path. It is an error if there is none.
func (r *reader) number(path string) float64 {
	value := r.required(path)
	number, err := strconv.ParseFloat(value.text, 64)
	if err != nil || math.IsNaN(number) || value.isString {
		r.fail(path, ErrNotNumber, "")
		return 0
	}
	return number
}

// optionalNumber returns the number at a path, or a default if there is no value.
func (r *reader) optionalNumber(path string, defaultNumber float64) float64 {
	if !r.document.has(path) {
		return defaultNumber
	}
	return r.number(path)
}

// integer returns the integer at a path. It is an error if there is none or if it is not from 0 to maxInteger.
func (r *reader) integer(path string) int {
	number := r.number(path)
	if number < 0 || number > maxInteger || number != math.Trunc(number) {
		r.fail(path, ErrNotInteger, "")
		return 0
	}
	return int(number)
}

// boolean returns the boolean at a path. It is an error if there is none.
func (r *reader) boolean(path string) bool {
	value := r.required(path)
	isBoolean := value.text == "true" || value.text == "false"
	if !isBoolean || value.isString {
		r.fail(path, ErrNotBoolean, "")
	}
	return value.text == "true"
}

// list returns the items of a list of scalars. It returns no items if the list is empty or there is none.
func (r *reader) list(path string) []string {
	text := r.document.values[path].text
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// enum returns what the value at a path is decoded to. The value is required and must be a key of the map.
func enum[T any](r *reader, path string, decoded map[string]T) T {
	result, ok := decoded[r.required(path).text]
	if !ok {
		r.fail(path, ErrUnknownValue, strings.Join(slices.Sorted(maps.Keys(decoded)), ", "))
	}
	return result
}
