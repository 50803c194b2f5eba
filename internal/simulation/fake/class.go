package fake

import "salttrack/balance"

// Class describes the requests of one class that clients send.
type Class struct {
	Name        string
	Idempotency balance.Idempotency
	Deadline    float64 // ms from sending a request to its deadline
	Fraction    float64 // fraction of all requests, relative to the sum of the fractions of all classes
}

// drawClass draws the index of a class, with probabilities proportional to the fractions.
func drawClass(rng Stream, classes []Class) int {
	sum := 0.0
	for _, class := range classes {
		sum += class.Fraction
	}
	at := rng.Float64() * sum
	for i, class := range classes {
		at -= class.Fraction
		if at < 0 {
			return i
		}
	}
	return len(classes) - 1
}
