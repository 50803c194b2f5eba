package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// ParseJSON parses a nested JSON object, the form that settings have in a configuration file. A key whose value is null
// is treated as absent. The error is a *SyntaxError.
func ParseJSON(text []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, &SyntaxError{Err: err}
	}
	document := &Document{values: map[string]value{}}
	document.addObject("", root)
	return document, nil
}

// add adds a decoded JSON value at a path. It adds an object or a list with all of its values.
func (d *Document) add(path string, node any) {
	switch node := node.(type) {
	case nil:
	case map[string]any:
		d.addObject(path, node)
	case []any:
		d.addList(path, node)
	case string:
		d.values[path] = value{text: replaceSeparators(node), isString: true}
	default:
		d.values[path] = value{text: scalarText(node)}
	}
}

// addObject adds the values of an object at the paths below its own, or at the top level if the path is empty.
func (d *Document) addObject(path string, object map[string]any) {
	for name, child := range object {
		childPath := name
		if path != "" {
			childPath = path + "." + name
		}
		d.add(childPath, child)
	}
}

// addList adds a list. A list that contains an object is added as a list of objects, any other one as a list of scalars.
func (d *Document) addList(path string, list []any) {
	if containsObject(list) {
		d.values[countPath(path)] = value{text: strconv.Itoa(len(list))}
		for i, item := range list {
			d.add(fmt.Sprintf("%s.%d", path, i), item)
		}
		return
	}
	texts := make([]string, len(list))
	for i, item := range list {
		texts[i] = scalarText(item)
	}
	d.values[path] = value{text: strings.Join(texts, ",")}
}

func containsObject(list []any) bool {
	for _, item := range list {
		if _, ok := item.(map[string]any); ok {
			return true
		}
	}
	return false
}

// scalarText returns a decoded JSON value that is not an object as text.
func scalarText(node any) string {
	if text, ok := node.(string); ok {
		return replaceSeparators(text)
	}
	return fmt.Sprint(node)
}

var separators = strings.NewReplacer(" ", "_", ",", "_")

// replaceSeparators replaces spaces and commas by underscores. Names in path=value lines have this form, since commas
// separate the items of a list there. After the replacement, a name is the same in both sources of settings.
func replaceSeparators(text string) string { return separators.Replace(text) }
