package simwire

import (
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes in bytes.
const (
	batchHeaderSize   = 20        // size of the header of a batch
	eventSize         = 48        // size of an encoded event
	maxFrameSize      = 256 << 20 // size of the largest frame that is accepted
	initialBufferSize = 64 << 10  // size of the buffer that is allocated for the first batch
	readChunkSize     = 1 << 20   // size of the largest part of a frame that is read at once
)

// Batch is a frame of events. The zero value is ready for Read.
type Batch struct {
	Clock  float64 // time of the events, in ms
	Number uint32

	records []byte // encoded events, followed by the tail of the frame, which has content of variable length
	count   int    // number of events
	events  eventBuffer
}

// Len returns the number of events in the batch.
func (b *Batch) Len() int { return b.count }

// Read reads the next batch and reuses the memory of the previous one.
// It returns io.EOF if the input ends before the batch. Any other error is a *HeaderError or a *FrameError.
func (b *Batch) Read(input io.Reader) error {
	if cap(b.records) < batchHeaderSize {
		b.records = make([]byte, 0, initialBufferSize)
	}
	header := b.records[:batchHeaderSize]
	received, err := io.ReadFull(input, header)
	if errors.Is(err, io.EOF) && received == 0 {
		return io.EOF
	}
	if err != nil {
		return &HeaderError{PreviousBatch: b.Number, Received: received, Err: err}
	}
	size := getUint32(header, 0)
	count := getUint32(header, 4)
	clock := getFloat64(header, 8)
	number := getUint32(header, 16)
	if err := checkHeader(size, count, clock); err != nil {
		return &FrameError{Batch: number, Err: err}
	}
	records, err := readBody(input, b.records[:0], int(size)-batchHeaderSize)
	if err != nil {
		return &FrameError{Batch: number, Err: fmt.Errorf("incomplete frame of %d bytes: %w", size, err)}
	}
	b.records = records
	b.count = int(count)
	b.Clock = clock
	b.Number = number
	return nil
}

// checkHeader checks the frame length in bytes, the number of records and the time that a header contains.
func checkHeader(size, count uint32, clock float64) error {
	if size < batchHeaderSize || size > maxFrameSize {
		return fmt.Errorf("frame length %d %w", size, ErrFrameLength)
	}
	if uint64(count)*eventSize > uint64(size)-batchHeaderSize {
		return fmt.Errorf("%d records do not fit in a frame of %d bytes", count, size)
	}
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return ErrClockNotNumber
	}
	return nil
}

// readBody reads size bytes into buffer, or into a larger buffer if it is too small, and returns the buffer.
// It reads in chunks, so that a frame with a false length allocates little more memory than it has bytes.
func readBody(input io.Reader, buffer []byte, size int) ([]byte, error) {
	for len(buffer) < size {
		received := len(buffer)
		end := min(size, received+readChunkSize)
		if cap(buffer) < end {
			grown := make([]byte, received, max(end, min(size, 2*cap(buffer))))
			copy(grown, buffer)
			buffer = grown
		}
		buffer = buffer[:end]
		if _, err := io.ReadFull(input, buffer[received:]); err != nil {
			return buffer[:0], err
		}
	}
	return buffer, nil
}

// Event decodes the event at an index and returns it with the instance to which it is addressed.
// An EndpointSnapshot is not addressed to an instance, and its InstanceID has no meaning.
// The event and the bytes that it refers to are valid until the next call of Event or Read.
// The error is a *RecordError.
func (b *Batch) Event(index int) (InstanceID, Event, error) {
	r := record{
		fields: b.records[index*eventSize : (index+1)*eventSize],
		tail:   b.records[b.count*eventSize:],
	}
	event := b.events.forCode(r.uint8(0))
	if event == nil {
		return 0, nil, &RecordError{Batch: b.Number, Record: index, Err: fmt.Errorf("%w %d", ErrUnknownEvent, r.uint8(0))}
	}
	if err := event.decode(r); err != nil {
		return 0, nil, &RecordError{Batch: b.Number, Record: index, Err: err}
	}
	return InstanceID(r.uint16(1)), event, nil
}
