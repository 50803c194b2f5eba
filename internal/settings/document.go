package settings

import "strings"

// Document holds settings before they are decoded, by path, such as "limits.max_attempts". For a list of objects, the
// path "<path>.count" has the number of objects, and the settings of the objects are under "<path>.0", "<path>.1" and so
// on. A list of scalars is a single value, in which commas separate the scalars.
type Document struct {
	values map[string]value // by path
}

// value is a scalar, or a list of scalars, as text.
type value struct {
	text     string
	isString bool // a JSON string, which is accepted neither as a number nor as a boolean
}

// ParseLines parses lines of the form path=value, in which the simulator sends settings. Empty lines are ignored.
// The error is a *SyntaxError.
func ParseLines(text []byte) (*Document, error) {
	document := &Document{values: map[string]value{}}
	for i, line := range strings.Split(string(text), "\n") {
		if line == "" {
			continue
		}
		path, text, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &SyntaxError{Line: i + 1, Err: errLineWithoutEqualsSign}
		}
		document.values[path] = value{text: text}
	}
	return document, nil
}

// has reports whether the document has a value at a path.
func (d *Document) has(path string) bool {
	_, ok := d.values[path]
	return ok
}
