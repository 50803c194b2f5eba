package main

import (
	"bytes"
	"encoding/binary"
	"testing"
)

// Codes and sizes of the simulator's protocol. The tests don't use the constants of package simwire,
// so that a wrong constant in that package makes them fail.
const (
	eventInstanceStarted  = 10
	eventEndpointUpdate   = 20
	eventRequestArrived   = 30
	eventAttemptEnded     = 50
	eventClientCancelled  = 60
	eventInstanceKilled   = 100
	eventEndpointSnapshot = 110

	actionReportPanic    = 20
	actionRejectRequest  = 40
	actionForwardRequest = 70

	updateComplete = uint8(1)
	updateCached   = uint8(2)

	batchHeaderSize = 20
	eventSize       = 48
	replyHeaderSize = 12
	actionSize      = 24
)

// input builds a stream of batches.
type input struct {
	bytes.Buffer
	records []byte // encoded events of the next batch
	tail    []byte // tail of the next batch
	number  uint32 // number of the last batch
}

// event adds an event with the given fields to the next batch.
func (in *input) event(code byte, fields ...any) {
	var record bytes.Buffer
	record.WriteByte(code)
	writeFields(&record, fields...)
	padding := make([]byte, eventSize-record.Len())
	in.records = append(in.records, record.Bytes()...)
	in.records = append(in.records, padding...)
}

// instanceStarted adds the start of an instance to the next batch.
func (in *input) instanceStarted(instance uint16, settings string) {
	const seed = uint64(7)
	in.event(eventInstanceStarted, instance, seed, uint32(len(in.tail)), uint32(len(settings)))
	in.tail = append(in.tail, settings...)
}

// endpointSnapshot adds an endpoint list of ready upstreams to the next batch.
func (in *input) endpointSnapshot(list uint32, upstreams ...uint32) {
	const zone, machineType, cell, ready, size, startedAt = uint16(0), uint8(0), uint16(0), uint8(1), float32(1), float64(0)
	in.event(eventEndpointSnapshot, list, uint32(len(in.tail)), uint32(len(upstreams)))
	for _, upstream := range upstreams {
		var entry bytes.Buffer
		writeFields(&entry, upstream, zone, machineType, cell, ready, size, startedAt)
		in.tail = append(in.tail, entry.Bytes()...)
	}
}

// endpointUpdate adds an update with the endpoints of a list to the next batch.
func (in *input) endpointUpdate(instance uint16, list uint32, kind uint8) {
	const version = uint64(1)
	in.event(eventEndpointUpdate, instance, list, kind, version)
}

// requestArrived adds the arrival of a request of class 0 to the next batch.
func (in *input) requestArrived(instance uint16, request uint32) {
	const class, tenant, key, expiresIn, expectedWork, flags = uint8(0), uint16(0), uint64(0), float64(2000), float64(0), uint8(0)
	in.event(eventRequestArrived, instance, request, class, tenant, key, expiresIn, expectedWork, flags)
}

// batch writes a batch with all events that were added since the last one. clock is its time in ms.
func (in *input) batch(clock float64) {
	in.number++
	size := batchHeaderSize + len(in.records) + len(in.tail)
	writeFields(&in.Buffer, uint32(size), uint32(len(in.records)/eventSize), clock, in.number)
	in.Write(in.records)
	in.Write(in.tail)
	in.records = nil
	in.tail = nil
}

// writeFields writes values in the protocol's little-endian encoding.
func writeFields(buffer *bytes.Buffer, fields ...any) {
	for _, field := range fields {
		binary.Write(buffer, binary.LittleEndian, field)
	}
}

// actionCodes runs the program on an input and returns the codes of the actions in each reply.
func actionCodes(t *testing.T, in *input) [][]byte {
	t.Helper()
	var out bytes.Buffer
	if err := run(in, &out); err != nil {
		t.Fatal(err)
	}
	var replies [][]byte
	for rest := out.Bytes(); len(rest) > 0; {
		size, count := binary.LittleEndian.Uint32(rest), binary.LittleEndian.Uint32(rest[4:])
		var codes []byte
		for i := range int(count) {
			codes = append(codes, rest[replyHeaderSize+actionSize*i])
		}
		replies = append(replies, codes)
		rest = rest[size:]
	}
	return replies
}
