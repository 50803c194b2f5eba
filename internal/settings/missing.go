package settings

import (
	"regexp"
	"slices"
	"strings"
)

// classPrefix matches the part of a path that precedes the name of a class setting, such as "classes.1.".
var classPrefix = regexp.MustCompile(`^` + classesPath + `\.\d+\.`)

// MissingPath returns the alphabetically first path that another document has and this one lacks, or "" if there is none.
// The documents may have different classes: a class setting is missing if all classes of the other document have it
// and a class of this document does not.
func (d *Document) MissingPath(other *Document) string {
	missing := append(d.missingOutsideClasses(other), d.missingInClasses(other)...)
	if len(missing) == 0 {
		return ""
	}
	return slices.Min(missing)
}

// missingOutsideClasses returns the missing paths that do not belong to a class.
func (d *Document) missingOutsideClasses(other *Document) []string {
	var missing []string
	for path := range other.values {
		if !classPrefix.MatchString(path) && !d.hasValueOrList(path) {
			missing = append(missing, path)
		}
	}
	return missing
}

// hasValueOrList reports whether the document has a value or a list at a path. An empty list of objects has the same form
// as an empty list of scalars, so a path with ".count" and the same path without it are treated as equal.
func (d *Document) hasValueOrList(path string) bool {
	return d.has(path) || d.has(strings.TrimSuffix(path, countSuffix)) || d.has(countPath(path))
}

// missingInClasses returns the missing paths of class settings. It returns none if the document has no classes, since
// missingOutsideClasses then returns the path of their number.
func (d *Document) missingInClasses(other *Document) []string {
	if !d.has(countPath(classesPath)) {
		return nil
	}
	var missing []string
	for _, name := range other.commonClassSettings() {
		for number := range d.classCount() {
			if path := classPath(number, name); !d.has(path) {
				missing = append(missing, path)
			}
		}
	}
	return missing
}

// commonClassSettings returns the names of the settings that every class has.
func (d *Document) commonClassSettings() []string {
	occurrences := map[string]int{}
	for path := range d.values {
		if prefix := classPrefix.FindString(path); prefix != "" {
			occurrences[strings.TrimPrefix(path, prefix)]++
		}
	}
	var common []string
	for name, count := range occurrences {
		if count == d.classCount() {
			common = append(common, name)
		}
	}
	return common
}

// classCount returns the number of classes, 0 if the document has none.
func (d *Document) classCount() int {
	if !d.has(countPath(classesPath)) {
		return 0
	}
	r := &reader{document: d}
	return r.integer(countPath(classesPath))
}
