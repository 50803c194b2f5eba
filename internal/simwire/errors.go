package simwire

import (
	"errors"
	"fmt"
)

// Causes of a FrameError or a RecordError.
var (
	ErrFrameLength        = fmt.Errorf("is not from %d to %d bytes", batchHeaderSize, maxFrameSize)
	ErrClockNotNumber     = errors.New("clock is not a finite number")
	ErrUnknownEvent       = errors.New("unknown event code")
	ErrUnknownUpdateKind  = errors.New("unknown kind of endpoint update")
	ErrListNumber         = fmt.Errorf("is not from 0 to %d", MaxEndpointLists-1)
	ErrContentBeyondFrame = errors.New("extends beyond the tail")
)

// HeaderError is the error of Batch.Read for input that ends within the header of a batch.
type HeaderError struct {
	PreviousBatch uint32 // number of the previous batch; 0 if there is none
	Received      int    // number of header bytes that were received
	Err           error  // error that reading the input returned
}

// Error returns a message with the number of the previous batch and the number of header bytes that were received.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("after batch %d: incomplete header: received %d of %d bytes", e.PreviousBatch, e.Received, batchHeaderSize)
}

// Unwrap returns the error that reading the input returned.
func (e *HeaderError) Unwrap() error { return e.Err }

// FrameError is the error of Batch.Read for a batch whose frame is malformed or incomplete.
type FrameError struct {
	Batch uint32 // number of the batch
	Err   error  // what is wrong with the frame
}

// Error returns a message with the number of the batch and what is wrong with its frame.
func (e *FrameError) Error() string { return fmt.Sprintf("batch %d: %v", e.Batch, e.Err) }

// Unwrap returns what is wrong with the frame.
func (e *FrameError) Unwrap() error { return e.Err }

// RecordError is the error for a record of a batch that can't be decoded or handled.
type RecordError struct {
	Batch  uint32 // number of the batch
	Record int    // index of the record in the batch, counted from 0
	Err    error  // what is wrong with the record
}

// Error returns a message with the number of the batch, the index of the record and what is wrong with the record.
func (e *RecordError) Error() string {
	return fmt.Sprintf("batch %d, record %d: %v", e.Batch, e.Record, e.Err)
}

// Unwrap returns what is wrong with the record.
func (e *RecordError) Unwrap() error { return e.Err }
