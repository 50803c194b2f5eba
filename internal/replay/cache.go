// Package replay remembers the ids of requests that may have run, so that a request whose id comes again is not run twice.
// It does no I/O. Processes that share the memory of a cache share its ids.
package replay

import (
	"sync/atomic"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"salttrack/balance"
)

// retention is the time for which an id is remembered, unless newer ones take its place.
const retention balance.Millis = 600_000

// Layout of the memory: buckets of slots. A slot has the fingerprint of an id in its high bits and the time at which the id was
// added in its low bits, or is 0. It is one word, so that several processes can change it atomically.
const (
	bucketCount    = 2048
	slotsPerBucket = 8
	bytesPerSlot   = 8
	timeBits       = 24
	timeMask       = 1<<timeBits - 1
	timeUnit       = 64.0 // ms; the times wrap around after twelve days
)

// Size is the size in bytes of the memory of a cache.
const Size = bucketCount * slotsPerBucket * bytesPerSlot

// Cache is a set of ids of fixed size. If a bucket is full, a new id replaces the oldest.
type Cache struct {
	buckets *[bucketCount]bucket
	now     func() balance.Millis
}

type bucket [slotsPerBucket]atomic.Uint64

// New returns a cache in a memory of Size bytes, which is aligned to 8 bytes and may have the ids of other processes. The
// processes that share it use the same clock.
func New(memory []byte, now func() balance.Millis) *Cache {
	_ = memory[Size-1]
	return &Cache{buckets: (*[bucketCount]bucket)(unsafe.Pointer(unsafe.SliceData(memory))), now: now}
}

// Add adds an id and reports whether it was absent. If two processes add the same id at the same moment, both may get false.
func (c *Cache) Add(id string) bool {
	b, fingerprint := c.locate(id)
	now := c.time()
	added := fingerprint<<timeBits | now
	for {
		if b.contains(fingerprint, now) {
			return false
		}
		slot, old := b.oldest(now)
		if slot.CompareAndSwap(old, added) {
			break
		}
	}
	if b.count(fingerprint) > 1 {
		c.Remove(id)
		return false
	}
	return true
}

// Remove removes an id, if it is present.
func (c *Cache) Remove(id string) {
	b, fingerprint := c.locate(id)
	for i := range b {
		if value := b[i].Load(); value>>timeBits == fingerprint {
			b[i].CompareAndSwap(value, 0)
			return
		}
	}
}

// locate returns the bucket of an id, and its fingerprint, which is not 0.
func (c *Cache) locate(id string) (*bucket, uint64) {
	hash := xxhash.Sum64String(id)
	return &c.buckets[hash%bucketCount], hash>>timeBits | 1
}

// time returns the current time in units of timeUnit.
func (c *Cache) time() uint64 { return uint64(c.now()/timeUnit) & timeMask }

// contains reports whether a fingerprint was added within retention. An older one is removed.
func (b *bucket) contains(fingerprint, now uint64) bool {
	for i := range b {
		value := b[i].Load()
		if value>>timeBits != fingerprint {
			continue
		}
		if float64(age(value, now))*timeUnit <= retention {
			return true
		}
		b[i].CompareAndSwap(value, 0)
	}
	return false
}

// count returns the number of slots with a fingerprint.
func (b *bucket) count(fingerprint uint64) (n int) {
	for i := range b {
		if b[i].Load()>>timeBits == fingerprint {
			n++
		}
	}
	return n
}

// oldest returns an empty slot, or the slot that was set first, and its value.
func (b *bucket) oldest(now uint64) (slot *atomic.Uint64, value uint64) {
	for i := range b {
		v := b[i].Load()
		if v == 0 {
			return &b[i], 0
		}
		if slot == nil || age(v, now) > age(value, now) {
			slot, value = &b[i], v
		}
	}
	return slot, value
}

// age returns the time since a slot was set, in units of timeUnit.
func age(value, now uint64) uint64 { return (now - value) & timeMask }
