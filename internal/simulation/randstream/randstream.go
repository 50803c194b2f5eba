// Package randstream gives each part of a simulation random numbers of its own. A stream is named by the seed and the
// part's name, so that additional draws in one part change nothing in another.
package randstream

import (
	"math"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// hashMultiplier is 2^64 divided by the golden ratio, which spreads small differences over all bits.
const hashMultiplier = 0x9e3779b97f4a7c15

// Stream is the random numbers of one part. It is not safe for concurrent use.
type Stream struct{ *rand.Rand }

// New returns the stream of a name under a seed. The same arguments always give the same numbers.
func New(seed uint64, name string) Stream { return NewNumbered(seed, Hash(seed, name)) }

// NewNumbered returns a stream that is named by two numbers.
func NewNumbered(seed, number uint64) Stream { return Stream{rand.New(rand.NewPCG(seed, number))} }

// Hash returns the hash of a seed and a name.
func Hash(seed uint64, name string) uint64 {
	return xxhash.Sum64String(strconv.FormatUint(seed, 16) + "/" + name)
}

// CombineHash folds a value into a hash.
func CombineHash(hash, value uint64) uint64 {
	hash ^= value
	hash *= hashMultiplier
	return hash ^ hash>>29
}

// Between draws from a uniform distribution from lowest to highest.
func (s Stream) Between(lowest, highest float64) float64 {
	return lowest + (highest-lowest)*s.Float64()
}

// Chance returns true with the given probability. A probability of 0 draws no number.
func (s Stream) Chance(probability float64) bool { return probability > 0 && s.Float64() < probability }

// LognormalFactor draws from a lognormal distribution of mean 1 with the given coefficient of variation.
func (s Stream) LognormalFactor(cv float64) float64 {
	if cv <= 0 {
		return 1
	}
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	return math.Exp(sigma*s.NormFloat64() - sigma*sigma/2)
}

// Choice draws one element of a list that is not empty.
func Choice[T any](s Stream, list []T) T { return list[s.IntN(len(list))] }
