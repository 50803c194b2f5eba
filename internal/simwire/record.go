package simwire

import (
	"encoding/binary"
	"fmt"
	"math"
)

// record is an encoded event. Its methods decode the field at an offset in bytes from the start of the record.
type record struct {
	fields []byte // the record itself, of a fixed size
	tail   []byte // the part of the frame after all records, which has content of variable length
}

func (r record) uint8(offset int) uint8     { return r.fields[offset] }
func (r record) uint16(offset int) uint16   { return getUint16(r.fields, offset) }
func (r record) uint32(offset int) uint32   { return getUint32(r.fields, offset) }
func (r record) uint64(offset int) uint64   { return getUint64(r.fields, offset) }
func (r record) float64(offset int) float64 { return getFloat64(r.fields, offset) }

// content returns the part of the tail that a field refers to. The field has the start of the content in the tail, in
// bytes, and its number of items. itemSize is the size of an item in bytes.
func (r record) content(offset, itemSize int) ([]byte, error) {
	start := uint64(r.uint32(offset))
	size := uint64(r.uint32(offset+4)) * uint64(itemSize)
	if start+size > uint64(len(r.tail)) {
		return nil, fmt.Errorf("content of %d bytes at offset %d %w of %d bytes", size, start, ErrContentBeyondFrame, len(r.tail))
	}
	return r.tail[start : start+size], nil
}

// loadReport decodes a load report: the number of values in one byte, then the values.
func (r record) loadReport(offset int) (LoadReport, error) {
	report := LoadReport{count: int(r.uint8(offset))}
	if report.count > len(report.values) {
		return LoadReport{}, fmt.Errorf("load report has %d values, but at most %d are allowed", report.count, maxLoadValues)
	}
	for i := range report.count {
		report.values[i] = getFloat32(r.fields, offset+1+4*i)
	}
	return report, nil
}

func getUint16(p []byte, offset int) uint16   { return binary.LittleEndian.Uint16(p[offset:]) }
func getUint32(p []byte, offset int) uint32   { return binary.LittleEndian.Uint32(p[offset:]) }
func getUint64(p []byte, offset int) uint64   { return binary.LittleEndian.Uint64(p[offset:]) }
func getFloat32(p []byte, offset int) float32 { return math.Float32frombits(getUint32(p, offset)) }
func getFloat64(p []byte, offset int) float64 { return math.Float64frombits(getUint64(p, offset)) }

func putUint16(p []byte, offset int, v uint16) { binary.LittleEndian.PutUint16(p[offset:], v) }
func putUint32(p []byte, offset int, v uint32) { binary.LittleEndian.PutUint32(p[offset:], v) }
func putUint64(p []byte, offset int, v uint64) { binary.LittleEndian.PutUint64(p[offset:], v) }
func putFloat64(p []byte, offset int, v float64) {
	binary.LittleEndian.PutUint64(p[offset:], math.Float64bits(v))
}
