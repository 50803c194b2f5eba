package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is an error in a scenario file.
type Error struct {
	File   string
	Line   int    // line number of the error; 0 if unknown
	Path   string // path of the invalid value, such as "world.rate" or "fault[2].size"; "" if the text is not valid TOML
	Reason string
}

// Error returns the file, the line, the path and the reason, separated by colons.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Path != "" {
		fmt.Fprintf(&b, ": %s", e.Path)
	}
	fmt.Fprintf(&b, ": %s", e.Reason)
	return b.String()
}

// Load reads and validates a scenario file. It returns an *Error if the scenario is not valid.
func Load(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read scenario: %w", err)
	}
	return Parse(path, text)
}

// Parse decodes and validates the text of a scenario file. It returns an *Error if the scenario is not valid.
// The file name is used in errors only.
func Parse(file string, text []byte) (*Scenario, error) {
	var s Scenario
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&s); err != nil {
		return nil, decodeError(file, err)
	}
	if invalid := s.validate(); invalid != nil {
		return nil, &Error{File: file, Line: lineOf(text, invalid.path), Path: invalid.path, Reason: invalid.reason}
	}
	return &s, nil
}

// decodeError converts an error of the TOML decoder to an *Error with file, line and path.
func decodeError(file string, err error) *Error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return &Error{File: file, Line: line, Path: strings.Join(first.Key(), "."), Reason: "unknown key"}
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return &Error{File: file, Line: line, Path: strings.Join(decode.Key(), "."), Reason: decode.Error()}
	}
	return &Error{File: file, Reason: err.Error()}
}

// lineOf returns the line number of a value in the text of a scenario file, or 0 if the text does not contain its key.
// For a value of a fault it returns the line of the fault's [[fault]] header.
func lineOf(text []byte, path string) int {
	var fault int
	if _, err := fmt.Sscanf(path, faultPath, &fault); err == nil {
		return faultLine(text, fault)
	}
	key := path[strings.LastIndex(path, ".")+1:]
	for i, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(strings.ReplaceAll(strings.TrimSpace(line), " ", ""), key+"=") {
			return i + 1
		}
	}
	return 0
}

// faultLine returns the line number of the [[fault]] header with the given index, or 0 if the text has no such header.
func faultLine(text []byte, fault int) int {
	headers := 0
	for i, line := range strings.Split(string(text), "\n") {
		if !strings.HasPrefix(strings.TrimSpace(line), "[[fault]]") {
			continue
		}
		if headers == fault {
			return i + 1
		}
		headers++
	}
	return 0
}
