package settings

import (
	"errors"
	"fmt"
)

// Reasons of an Error, and the cause of a SyntaxError of path=value lines.
var (
	ErrMissing               = errors.New("is missing")
	ErrNotNumber             = errors.New("is not a number")
	ErrNotInteger            = fmt.Errorf("is not an integer from 0 to %d", maxInteger)
	ErrNotBoolean            = errors.New("is not a boolean: must be true or false")
	ErrUnknownValue          = errors.New("is not one of the allowed values")
	ErrOutOfRange            = errors.New("is out of range")
	ErrClassCount            = errors.New("has an invalid number of entries")
	ErrDuplicateClass        = errors.New("is already the name of another class")
	ErrClassNumbersExhausted = fmt.Errorf("no number is free for a new class: all %d are held by running classes, "+
		"or by removed classes with requests in progress", maxClasses)
	errLineWithoutEqualsSign = errors.New("has no '='")
)

// Error is the error for a setting that is missing or has an invalid value.
type Error struct {
	Path    string // path of the setting, such as "classes.1.deadline_ms"
	Value   string // value as it was read; empty if the setting is missing
	Allowed string // which values are allowed; only for ErrUnknownValue, ErrOutOfRange and ErrClassCount
	Reason  error  // what is wrong: ErrMissing or another of the reasons in this file
}

// Error returns a message with the path of the setting, its value, what is wrong with it and which values are allowed.
func (e *Error) Error() string {
	switch e.Reason {
	case ErrMissing:
		return fmt.Sprintf("setting %s %v", e.Path, e.Reason)
	case ErrUnknownValue:
		return fmt.Sprintf("setting %s=%q %v: %s", e.Path, e.Value, e.Reason, e.Allowed)
	case ErrOutOfRange:
		return fmt.Sprintf("setting %s=%s %v: %s", e.Path, e.Value, e.Reason, e.Allowed)
	case ErrClassCount:
		return fmt.Sprintf("setting %s has %s entries: %s", e.Path, e.Value, e.Allowed)
	case ErrClassNumbersExhausted:
		return fmt.Sprintf("setting %s: %v", e.Path, e.Reason)
	default:
		return fmt.Sprintf("setting %s=%q %v", e.Path, e.Value, e.Reason)
	}
}

// Unwrap returns the reason of the error.
func (e *Error) Unwrap() error { return e.Reason }

// SyntaxError is the error for settings that can't be parsed.
type SyntaxError struct {
	Line int   // number of the malformed path=value line, counted from 1; 0 for JSON
	Err  error // what is wrong
}

// Error returns a message that says what is wrong, with the number of the line for path=value lines.
func (e *SyntaxError) Error() string {
	if e.Line == 0 {
		return fmt.Sprintf("settings: not a valid JSON object: %v", e.Err)
	}
	return fmt.Sprintf("settings line %d %v", e.Line, e.Err)
}

// Unwrap returns Err, which is an error of package encoding/json if the settings are JSON.
func (e *SyntaxError) Unwrap() error { return e.Err }
