package balance

// Accept window: the sliding window of finished requests that the throttle and the retry budget are based on.

const (
	bucketCount              = 6 // buckets of a window, which gives 3 s, or up to 30 s with little traffic
	bucketDuration    Millis = 500
	maxBucketDuration Millis = 5000 // longest time that a bucket stays open if requests are too few
	minRequests              = 20   // finished requests needed for a meaningful ratio of accepts
)

// windowCount counts the finished requests of one bucket or of the whole window.
type windowCount struct {
	requests float64
	accepts  float64 // sum of the accept fractions of the requests
}

// acceptWindow counts finished requests, and how far they were accepted, over a sliding window.
type acceptWindow struct {
	buckets     [bucketCount][]windowCount // each indexed by class
	byClass     []windowCount              // sums over the buckets, indexed by class
	total       windowCount                // sum over the buckets and classes
	current     int                        // index of the bucket that counts requests now
	bucketStart Millis
	bucketEnd   Millis
}

func newAcceptWindow(now Millis) acceptWindow {
	return acceptWindow{bucketStart: now, bucketEnd: now + bucketDuration}
}

// count counts one finished request, and adds its accept fraction, from 0 to 1, to the accepts.
func (w *acceptWindow) count(class uint8, accept float64) {
	bucket := &w.buckets[w.current][class]
	for _, c := range [...]*windowCount{bucket, &w.byClass[class], &w.total} {
		c.requests++
		c.accepts += accept
	}
}

// closeBucket closes the current bucket. It drops the oldest bucket, which becomes the current one.
// It returns false if the current bucket stays open for another bucketDuration instead.
func (w *acceptWindow) closeBucket() bool {
	next := (w.current + 1) % bucketCount
	staysOpen := w.staysOpen(next)
	w.bucketEnd += bucketDuration
	if staysOpen {
		return false
	}
	w.bucketStart = w.bucketEnd - bucketDuration
	w.current = next
	w.total = windowCount{}
	for class := range w.byClass {
		w.dropBucket(class, next)
		w.total.requests += w.byClass[class].requests
		w.total.accepts += w.byClass[class].accepts
	}
	return true
}

// staysOpen reports whether the current bucket stays open.
// It does if the window without the oldest bucket has too few requests.
// Otherwise an instance with little traffic would never have enough requests for the formula.
func (w *acceptWindow) staysOpen(oldest int) bool {
	remaining := w.total.requests
	for _, c := range w.buckets[oldest] {
		remaining -= c.requests
	}
	return remaining < minRequests && w.bucketEnd < w.bucketStart+maxBucketDuration
}

func (w *acceptWindow) dropBucket(class, bucket int) {
	c := &w.buckets[bucket][class]
	w.byClass[class].requests -= c.requests
	w.byClass[class].accepts = max(0, w.byClass[class].accepts-c.accepts)
	*c = windowCount{}
}

// addClasses adds counts for n more classes.
func (w *acceptWindow) addClasses(n int) {
	w.byClass = append(w.byClass, make([]windowCount, n)...)
	for i := range w.buckets {
		w.buckets[i] = append(w.buckets[i], make([]windowCount, n)...)
	}
}

// resetClass drops the counts of a class.
func (w *acceptWindow) resetClass(class int) {
	w.total.requests -= w.byClass[class].requests
	w.total.accepts = max(0, w.total.accepts-w.byClass[class].accepts)
	w.byClass[class] = windowCount{}
	for i := range w.buckets {
		w.buckets[i][class] = windowCount{}
	}
}
