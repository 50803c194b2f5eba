// Package glossary is read by the test of the glossary page. Its names are of each kind that a row can refer to.
package glossary

import "sync"

// Limit and Unit are a group of constants.
const (
	Limit = 10
	Unit  = "worthless"
)

// First and Second are a group of variables that share one declaration.
var First, Second = "late_value", "/-/ready"

// Queue is a generic struct.
type Queue[T any] struct {
	*Base
	sync.Mutex
	Waiting, Done []T
}

// Base is a type of this package that Queue embeds.
type Base struct{}

// Push is a method of a generic type.
func (q *Queue[T]) Push(v T) { q.Waiting = append(q.Waiting, v) }

// Pair is a generic type with two type parameters.
type Pair[K, V any] struct{ key, value K }

// Swap is a method of a generic type with two type parameters.
func (p *Pair[K, V]) Swap() { p.key, p.value = p.value, p.key }

// Reader is an interface.
type Reader interface {
	ReadNext() (int, error)
}

// Open is a function without a receiver.
func Open() Reader { return nil }
