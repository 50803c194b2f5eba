package settings

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"salttrack/balance"
)

// reloadModel models a balancer that reloads its settings while requests begin and end.
type reloadModel struct {
	running  Settings
	requests map[uint8]string // for each class number with requests in progress, the class name
}

func (m *reloadModel) inUse(class uint8) bool { return m.requests[class] != "" }

// changeRequests begins or ends requests of randomly selected classes.
func (m *reloadModel) changeRequests(t *rapid.T) {
	for i, class := range m.running.Classes {
		number := uint8(i)
		switch {
		case rapid.Bool().Draw(t, "ends"):
			delete(m.requests, number)
		case !class.Removed && rapid.Bool().Draw(t, "begins"):
			m.requests[number] = m.running.ClassNames[i]
		}
	}
}

// drawSettings returns settings with one to six of ten possible classes.
// The number in the name of a class is its priority weight.
func drawSettings(t *rapid.T, label string) Settings {
	var s Settings
	numbers := rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 1, 6, rapid.ID[int]).Draw(t, label)
	for _, number := range numbers {
		s.ClassNames = append(s.ClassNames, fmt.Sprint("class", number))
		s.Classes = append(s.Classes, balance.Class{PriorityWeight: float64(number)})
	}
	return s
}

// checkClass checks that the class at a number has its own settings and that the number may be assigned to it.
func (m *reloadModel) checkClass(t *rapid.T, loaded, next Settings, number int) {
	t.Helper()
	name, class := next.ClassNames[number], next.Classes[number]
	if class.PriorityWeight != loaded.Classes[slices.Index(loaded.ClassNames, name)].PriorityWeight {
		t.Fatalf("%s has the settings of another class", name)
	}
	running := m.running
	if number < len(running.Classes) && running.ClassNames[number] != name &&
		(!running.Classes[number].Removed || m.inUse(uint8(number))) {
		t.Fatalf("%s has number %d, which %s still uses", name, number, running.ClassNames[number])
	}
	before := slices.Index(running.ClassNames, name)
	if before >= 0 && before != number && !running.Classes[before].Removed {
		t.Fatalf("the number of %s changes from %d to %d", name, before, number)
	}
}

// When classes are added, removed and reordered, a class that remains keeps its number.
// No class gets a number that another class still uses.
func TestClassNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := reloadModel{running: drawSettings(t, "first"), requests: map[uint8]string{}}
		for range 8 {
			model.changeRequests(t)
			loaded := drawSettings(t, "next")
			next, err := loaded.WithClassNumbers(model.running, model.inUse)
			if err != nil {
				t.Fatal(err)
			}
			live := 0
			for number, class := range next.Classes {
				if class.Removed {
					continue
				}
				live++
				model.checkClass(t, loaded, next, number)
			}
			if live != len(loaded.Classes) {
				t.Fatalf("%d classes that are not removed, want %d", live, len(loaded.Classes))
			}
			model.running = next
		}
	})
}
