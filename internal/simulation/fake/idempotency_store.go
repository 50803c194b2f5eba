package fake

// IdempotencyStore holds the idempotency keys of the requests that the upstreams of one deduplication scope have executed.
type IdempotencyStore struct {
	window    float64            // ms for which a key is held
	expiresAt map[string]float64 // expiry times in ms, by idempotency key
}

// NewIdempotencyStore returns an empty store that holds each key for window, in ms.
func NewIdempotencyStore(window float64) *IdempotencyStore {
	return &IdempotencyStore{window: window, expiresAt: map[string]float64{}}
}

// isDuplicate reports whether the store holds a key, and adds the key if it does not.
func (s *IdempotencyStore) isDuplicate(key string, now float64) bool {
	if s.expiresAt[key] > now {
		return true
	}
	s.expiresAt[key] = now + s.window
	return false
}
