// Package randstream provides an independent stream of random numbers for each component of a simulation.
//
// A stream is determined by the seed and a name.
// Additional draws from one stream do not change the numbers of another.
package randstream

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// hashMultiplier is 2^64 divided by the golden ratio.
// Multiplication by it spreads small differences over all bits.
const hashMultiplier = 0x9e3779b97f4a7c15

// Stream is a stream of random numbers. It is not safe for concurrent use.
type Stream struct{ *rand.Rand }

// New returns the stream of a seed and a name. The same arguments always give the same numbers.
func New(seed uint64, name string) Stream { return NewNumbered(seed, Hash(seed, name)) }

// NewNumbered returns the stream of a seed and a number. The same arguments always give the same numbers.
func NewNumbered(seed, number uint64) Stream { return Stream{rand.New(rand.NewPCG(seed, number))} }

// Hash returns the hash of a seed and a name.
func Hash(seed uint64, name string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + name)
}

// CombineHash mixes a value into a hash and returns the new hash.
func CombineHash(hash, value uint64) uint64 {
	hash ^= value
	hash *= hashMultiplier
	return hash ^ hash>>29
}

// Between draws from the uniform distribution between lowest and highest.
func (s Stream) Between(lowest, highest float64) float64 {
	return lowest + (highest-lowest)*s.Float64()
}

// Chance returns true with the given probability.
// A probability of 0 draws no number from the stream.
func (s Stream) Chance(probability float64) bool { return probability > 0 && s.Float64() < probability }

// LognormalFactor draws from the lognormal distribution of mean 1 with the coefficient of variation cv.
// If cv is 0 or negative it returns 1 and draws no number from the stream.
func (s Stream) LognormalFactor(cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	return math.Exp(sigma*s.NormFloat64() - sigma*sigma/2)
}

// Choice draws one element of a list with equal probability. It panics if the list is empty.
func Choice[T any](s Stream, list []T) T { return list[s.IntN(len(list))] }
