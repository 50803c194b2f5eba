package settings

import (
	"slices"

	"salttrack/balance"
)

// WithClassNumbers returns a copy of newly loaded settings in which the class numbers are consistent with the running
// settings. A class that is in both keeps its number. A new class gets a number that is used neither by a class of the
// running settings nor by a request in progress. A class that is only in the running settings keeps its number and is
// marked as removed, until its number is assigned to another class. The error is an *Error.
func (s Settings) WithClassNumbers(running Settings, inUse func(class uint8) bool) (Settings, error) {
	numbering := newClassNumbering(running, inUse)
	for i, name := range s.ClassNames {
		number, ok := numbering.numberFor(name)
		if !ok {
			return Settings{}, &Error{Path: classesPath, Reason: ErrClassNumbersExhausted}
		}
		numbering.assign(number, name, s.Classes[i])
	}
	numbering.clearReusedNames(s.ClassNames)
	next := s
	next.Classes = numbering.classes
	next.ClassNames = numbering.names
	return next, nil
}

// classNumbering assigns numbers to the classes of newly loaded settings.
type classNumbering struct {
	running Settings
	inUse   func(class uint8) bool // whether a request of the class is in progress
	classes []balance.Class        // result, indexed by class number
	names   []string               // names of the classes of the result
}

// newClassNumbering returns a numbering in which every class of the running settings is marked as removed.
func newClassNumbering(running Settings, inUse func(class uint8) bool) *classNumbering {
	numbering := &classNumbering{
		running: running,
		inUse:   inUse,
		classes: slices.Clone(running.Classes),
		names:   slices.Clone(running.ClassNames),
	}
	for i := range numbering.classes {
		numbering.classes[i].Removed = true
	}
	return numbering
}

// numberFor returns the number that a class gets: the number that it has in the running settings, else a free number,
// else the lowest number that was never assigned. ok is false if all numbers are taken.
func (n *classNumbering) numberFor(name string) (number int, ok bool) {
	number = slices.Index(n.running.ClassNames, name)
	if number >= 0 && !n.running.Classes[number].Removed {
		return number, true
	}
	for number := range n.running.Classes {
		if n.isFree(number) {
			return number, true
		}
	}
	number = len(n.classes)
	return number, number < maxClasses
}

// isFree reports whether a number may be assigned to a new class: its class was already removed from the running
// settings, the number has not been assigned again, and no request in progress uses it.
func (n *classNumbering) isFree(number int) bool {
	return n.running.Classes[number].Removed && n.classes[number].Removed && !n.inUse(uint8(number))
}

// assign gives a number to a class. The number may be one higher than the highest number so far.
func (n *classNumbering) assign(number int, name string, class balance.Class) {
	if number == len(n.classes) {
		n.classes = append(n.classes, balance.Class{})
		n.names = append(n.names, "")
	}
	n.classes[number] = class
	n.names[number] = name
}

// clearReusedNames clears the name of each removed class whose name a class of the new settings has under another number.
func (n *classNumbering) clearReusedNames(newNames []string) {
	for number := range n.classes {
		if n.classes[number].Removed && slices.Contains(newNames, n.names[number]) {
			n.names[number] = ""
		}
	}
}
