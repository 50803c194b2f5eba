package simwire

import (
	"bytes"
	"errors"
	"io"
	"testing"
)

func TestEmptyBatch(t *testing.T) {
	batch := mustReadBatch(t, emptyBatch, 0)
	if batch.Number != 1 || batch.Clock != 8412.25 {
		t.Errorf("number %d, clock %v", batch.Number, batch.Clock)
	}
}

func TestMalformedBatch(t *testing.T) {
	tests := []struct{ name, frame, want string }{
		{"incomplete header", "14000000 0000", "after batch 0: incomplete header: received 6 of 20 bytes"},
		{"length shorter than the header", "13000000 00000000 00000000206ec040 07000000", "batch 7: frame length 19 is not from 20 to 268435456 bytes"},
		{"huge length", "ffffffff 00000000 00000000206ec040 07000000", "batch 7: frame length 4294967295 is not from 20 to 268435456 bytes"},
		{"incomplete body", threeEventBatch[:len(threeEventBatch)-2], "batch 12: incomplete frame of 164 bytes: unexpected EOF"},
		{"more records than bytes", "14000000 ffffffff 00000000206ec040 07000000", "batch 7: 4294967295 records do not fit in a frame of 20 bytes"},
		{"clock not a number", "14000000 00000000 000000000000f87f 07000000", "batch 7: clock is not a finite number"},
		{"unknown code", "44000000 01000000 00000000206ec040 07000000 09" + zeros(47), "batch 7, record 0: unknown event code 9"},
		{"list number", "44000000 01000000 00000000206ec040 07000000 6e 10000000" + zeros(43), "batch 7, record 0: endpoint list number 16 is not from 0 to 15"},
		{"offset beyond the tail", "44000000 01000000 00000000206ec040 07000000 6e 00000000 01000000" + zeros(39), "batch 7, record 0: content of 0 bytes at offset 1 extends beyond the tail of 0 bytes"},
		{"count beyond the tail", "44000000 01000000 00000000206ec040 07000000 6e 00000000 00000000 ffffffff" + zeros(35),
			"batch 7, record 0: content of 94489280490 bytes at offset 0 extends beyond the tail of 0 bytes"},
		{"settings beyond the tail", "44000000 01000000 00000000206ec040 07000000 0a 0300" + zeros(8) + "ffffffff ffffffff" + zeros(29),
			"batch 7, record 0: content of 4294967295 bytes at offset 4294967295 extends beyond the tail of 0 bytes"},
		{"load report of five values", "44000000 01000000 00000000206ec040 07000000 32" + zeros(23) + "05" + zeros(23), "batch 7, record 0: load report has 5 values, but at most 4 are allowed"},
		{"unknown kind of update", "44000000 01000000 00000000206ec040 07000000 14" + zeros(6) + "04" + zeros(40), "batch 7, record 0: unknown kind of endpoint update 4"},
	}
	for _, tt := range tests {
		batch, err := readBatch(fromHex(t, tt.frame))
		for i := 0; err == nil && i < batch.Len(); i++ {
			_, _, err = batch.Event(i)
		}
		if err == nil || err.Error() != tt.want {
			t.Errorf("%s: %v, want %q", tt.name, err, tt.want)
		}
	}
	if _, err := readBatch(nil); err != io.EOF {
		t.Errorf("end of input: %v", err)
	}
}

func TestErrorFields(t *testing.T) {
	var header *HeaderError
	_, err := readBatch(fromHex(t, "14000000 0000"))
	if !errors.As(err, &header) || header.Received != 6 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("header: %#v", err)
	}
	var frame *FrameError
	_, err = readBatch(fromHex(t, "13000000 00000000 00000000206ec040 07000000"))
	if !errors.As(err, &frame) || frame.Batch != 7 || !errors.Is(err, ErrFrameLength) {
		t.Errorf("frame: %#v", err)
	}
	for fields, cause := range map[string]error{
		"09" + zeros(47):                            ErrUnknownEvent,
		"6e 10000000" + zeros(43):                   ErrListNumber,
		"14" + zeros(6) + "04" + zeros(40):          ErrUnknownUpdateKind,
		"6e 00000000 00000000 ffffffff" + zeros(35): ErrContentBeyondFrame,
	} {
		batch := mustReadBatch(t, "44000000 01000000 00000000206ec040 07000000"+fields, 1)
		_, _, err := batch.Event(0)
		var record *RecordError
		if !errors.As(err, &record) || record.Batch != 7 || record.Record != 0 || !errors.Is(err, cause) {
			t.Errorf("%v: %#v", cause, err)
		}
	}
}

// A header with a false frame length must not make Read allocate more than 4 MiB before it receives the rest of the frame.
func TestFalseLengthAllocatesLittle(t *testing.T) {
	batch, err := readBatch(fromHex(t, "ffffff0f 00000000 00000000206ec040 07000000"))
	if err == nil || cap(batch.records) > 4<<20 {
		t.Errorf("%v, %d bytes allocated", err, cap(batch.records))
	}
}

func FuzzBatch(f *testing.F) {
	for _, text := range []string{emptyBatch, threeEventBatch, endpointListBatch, attemptEndedBatch} {
		f.Add(fromHex(f, text))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := bytes.NewReader(input)
		var batch Batch
		for batch.Read(reader) == nil {
			for i := range batch.Len() {
				_, event, err := batch.Event(i)
				if err != nil {
					continue
				}
				snapshot, ok := event.(*EndpointSnapshot)
				if !ok {
					continue
				}
				if count := len(snapshot.AppendEndpoints(nil)); count*endpointSize > len(input) {
					t.Fatalf("%d endpoints from %d bytes", count, len(input))
				}
			}
		}
	})
}
