// Package settings builds the configuration of an instance, for the simulator and for the sockets, from what
// either gives it: the same paths and values, as lines or as nested JSON.
package settings

import (
	"fmt"
	"strconv"
	"strings"
)

// Values holds an instance's settings by path. Reading through it collects what is missing or malformed.
type Values struct {
	values map[string]string
	quoted map[string]bool // where the source tells texts from numbers: the texts
	err    error
}

// ParseLines reads path=value lines.
func ParseLines(text []byte) *Values {
	c := &Values{values: map[string]string{}}
	for n, line := range strings.Split(string(text), "\n") {
		if line == "" {
			continue
		}
		path, value, ok := strings.Cut(line, "=")
		if !ok {
			c.fail(fmt.Errorf("settings line %d has no '='", n+1))
			continue
		}
		c.values[path] = value
	}
	return c
}

// Err returns the first fault met.
func (c *Values) Err() error { return c.err }

func (c *Values) fail(err error) {
	if c.err == nil {
		c.err = err
	}
}

// Has reports whether a path is set.
func (c *Values) Has(path string) bool { _, ok := c.values[path]; return ok }

// Str returns a needed text.
func (c *Values) Str(path string) string {
	v, ok := c.values[path]
	if !ok {
		c.fail(fmt.Errorf("setting %s is missing", path))
	}
	return v
}

// Num returns a needed number.
func (c *Values) Num(path string) float64 {
	v := c.Str(path)
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || x != x || c.quoted[path] {
		c.fail(fmt.Errorf("setting %s=%q is not a number", path, v))
		return 0
	}
	return x
}

// NumOr returns a number, or the given one where the path is absent.
func (c *Values) NumOr(path string, absent float64) float64 {
	if !c.Has(path) {
		return absent
	}
	return c.Num(path)
}

// Int returns a needed whole number from 0 to 2^20.
func (c *Values) Int(path string) int {
	x := c.Num(path)
	if x < 0 || x > 1<<20 || x != float64(int(x)) {
		c.fail(fmt.Errorf("setting %s=%q is not a number from 0 to %d", path, c.values[path], 1<<20))
		return 0
	}
	return int(x)
}

// Bool returns a needed truth value.
func (c *Values) Bool(path string) bool {
	v := c.Str(path)
	if v != "true" && v != "false" || c.quoted[path] {
		c.fail(fmt.Errorf("setting %s=%q is neither true nor false", path, v))
	}
	return v == "true"
}

// List returns the parts of a list of plain values, none where it is empty or absent.
func (c *Values) List(path string) []string {
	if v := c.values[path]; v != "" {
		return strings.Split(v, ",")
	}
	return nil
}

// Unknown notes that a path holds a word that it may not.
func (c *Values) Unknown(path string) {
	c.fail(fmt.Errorf("setting %s=%q is not a known word", path, c.values[path]))
}
