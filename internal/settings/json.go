package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// ParseJSON reads the settings as nested JSON, under the same paths as the lines have: a list of objects
// states its length under .count and its items under .0, .1 and so on; one of plain values is joined by
// commas.
func ParseJSON(text []byte) (*Values, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c := &Values{values: map[string]string{}, quoted: map[string]bool{}}
	c.flatten("", tree)
	return c, nil
}

func (c *Values) flatten(path string, node any) {
	switch v := node.(type) {
	case map[string]any:
		for name, child := range v {
			if path != "" {
				name = path + "." + name
			}
			c.flatten(name, child)
		}
	case []any:
		if objects(v) {
			c.values[path+".count"] = strconv.Itoa(len(v))
			for i, child := range v {
				c.flatten(path+"."+strconv.Itoa(i), child)
			}
			return
		}
		var parts []string
		for _, child := range v {
			parts = append(parts, plain(child))
		}
		c.values[path] = strings.Join(parts, ",")
	case nil: // the same as absent
	default:
		c.values[path] = plain(v)
		_, c.quoted[path] = v.(string)
	}
}

func objects(list []any) bool {
	for _, x := range list {
		if _, ok := x.(map[string]any); ok {
			return true
		}
	}
	return false
}

// plain gives a plain value as the lines have it.
func plain(v any) string {
	s, ok := v.(string)
	if !ok {
		return fmt.Sprint(v)
	}
	return strings.NewReplacer(" ", "_", ",", "_").Replace(s)
}
