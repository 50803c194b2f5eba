package simwire

import "io"

// Sizes of the header of a reply and of an encoded action, in bytes.
const (
	replyHeaderSize = 12
	actionSize      = 24
)

// Codes of the actions. The comments give the protocol's names for them.
const (
	codeReportPanic    = 20  // BAIL_OUT
	codeRejectRequest  = 40  // REJECT
	codeLog            = 50  // WRITE_LOG
	codeForwardRequest = 70  // DISPATCH
	codeSetTimer       = 80  // DEFER
	codeCancelAttempt  = 90  // CANCEL
	codeFailRequest    = 100 // REPORT_FAILURE
	codeWatchEndpoints = 120 // TRACK
)

// Reply is a frame of actions. The zero value is an empty reply.
type Reply struct {
	header  [replyHeaderSize]byte
	records []byte // encoded actions
	tail    []byte // texts that the actions refer to
}

// Reset removes all actions and keeps the memory for reuse.
func (r *Reply) Reset() {
	r.records = r.records[:0]
	r.tail = r.tail[:0]
}

// add appends an action and returns its record, in which only the code and the instance are set.
func (r *Reply) add(code uint8, instance InstanceID) []byte {
	var empty [actionSize]byte
	r.records = append(r.records, empty[:]...)
	fields := r.records[len(r.records)-actionSize:]
	fields[0] = code
	putUint16(fields, 1, uint16(instance))
	return fields
}

// ForwardRequest adds an action that forwards a request to an upstream.
// The timeout of the attempt is in ms; if it is 0, the attempt may last until the deadline of the request.
func (r *Reply) ForwardRequest(instance InstanceID, request, upstream uint32, timeout float64) {
	fields := r.add(codeForwardRequest, instance)
	putUint32(fields, 3, request)
	putUint32(fields, 7, upstream)
	putFloat64(fields, 11, timeout)
}

// RejectRequest adds an action that rejects a request, which tells the client that a retry is safe.
// retryAfter is the time in ms after which the client should retry; 0 gives no advice.
func (r *Reply) RejectRequest(instance InstanceID, request uint32, retryAfter float64) {
	fields := r.add(codeRejectRequest, instance)
	putUint32(fields, 3, request)
	putFloat64(fields, 7, retryAfter)
}

// FailRequest adds an action that tells the client that its request failed and may have been executed.
func (r *Reply) FailRequest(instance InstanceID, request uint32) {
	fields := r.add(codeFailRequest, instance)
	putUint32(fields, 3, request)
}

// CancelAttempt adds an action that cancels an attempt of a request.
func (r *Reply) CancelAttempt(instance InstanceID, request uint32, attempt uint16) {
	fields := r.add(codeCancelAttempt, instance)
	putUint32(fields, 3, request)
	putUint16(fields, 7, attempt)
}

// SetTimer adds an action that sets a timer with an id.
// The simulator sends the event TimerFired with this id after the given time in ms.
func (r *Reply) SetTimer(instance InstanceID, after float64, timer uint64) {
	fields := r.add(codeSetTimer, instance)
	putFloat64(fields, 3, after)
	putUint64(fields, 11, timer)
}

// WatchEndpoints adds an action that subscribes the instance to endpoint updates from discovery.
func (r *Reply) WatchEndpoints(instance InstanceID) {
	fields := r.add(codeWatchEndpoints, instance)
	fields[3] = 1
}

// Log adds an action that writes a line to the simulator's report.
func (r *Reply) Log(instance InstanceID, text string) { r.addText(codeLog, instance, text) }

// ReportPanic adds an action that tells the simulator that package balance has panicked.
// The simulator then ends the run and shows the text.
func (r *Reply) ReportPanic(instance InstanceID, text string) {
	r.addText(codeReportPanic, instance, text)
}

// addText adds an action that refers to a text in the tail.
func (r *Reply) addText(code uint8, instance InstanceID, text string) {
	fields := r.add(code, instance)
	putUint32(fields, 3, uint32(len(r.tail)))
	putUint32(fields, 7, uint32(len(text)))
	r.tail = append(r.tail, text...)
}

// Write writes the frame of the reply to the batch with the given number.
func (r *Reply) Write(output io.Writer, batch uint32) error {
	putUint32(r.header[:], 0, uint32(replyHeaderSize+len(r.records)+len(r.tail)))
	putUint32(r.header[:], 4, uint32(len(r.records)/actionSize))
	putUint32(r.header[:], 8, batch)
	for _, part := range [...][]byte{r.header[:], r.records, r.tail} {
		if _, err := output.Write(part); err != nil {
			return err
		}
	}
	return nil
}
