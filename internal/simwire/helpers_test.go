package simwire

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"
)

// Example frames from the specification of the protocol, in hexadecimal.
var (
	emptyBatch      = "14000000 00000000 00000000206ec040 01000000"
	threeEventBatch = "a4000000 03000000 00000000206ec040 0c000000" +
		"1e 0300 c4913a5d 00 0000 640ad2557c3bf091 0000000000006e40 0000000000002840 01" + zeros(13) +
		"46 0300 4d00000000000000" + zeros(37) +
		"3c 0500 192b6f0e" + zeros(41)
	endpointListBatch = "a0000000 02000000 00000000206ec040 02000000" +
		"6e 00000000 00000000 02000000" + zeros(35) +
		"14 0300 00000000 02 2900000000000000" + zeros(32) +
		"074a1203 0000 00 0000 01 0000803f 0000000000000000" +
		"f211902c 0100 00 0000 01 0000c03f 0000000000d4b740"
	attemptEndedBatch = "44000000 01000000 00000000206ec040 03000000" +
		"32 0300 c4913a5d 0000 074a1203 6400 0000000000803240 01 02 52b81e3f 00006841 00000000 00000000" + zeros(7)
)

// fromHex decodes hexadecimal text. It ignores spaces.
func fromHex(t testing.TB, text string) []byte {
	t.Helper()
	p, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// zeros returns a number of zero bytes as hexadecimal text.
func zeros(count int) string { return strings.Repeat("00", count) }

// readBatch reads the first batch of an input.
func readBatch(frame []byte) (*Batch, error) {
	batch := &Batch{}
	err := batch.Read(bytes.NewReader(frame))
	return batch, err
}

// mustReadBatch reads a batch from hexadecimal text and checks its number of events.
func mustReadBatch(t *testing.T, text string, events int) *Batch {
	t.Helper()
	batch, err := readBatch(fromHex(t, text))
	if err != nil {
		t.Fatal(err)
	}
	if batch.Len() != events {
		t.Fatalf("%d events, want %d", batch.Len(), events)
	}
	return batch
}

// checkEvent compares an event of a batch, and the instance to which it is addressed, with the wanted ones.
func checkEvent[E comparable](t *testing.T, batch *Batch, index int, wantInstance InstanceID, want E) {
	t.Helper()
	instance, event, err := batch.Event(index)
	if err != nil {
		t.Fatal(err)
	}
	got, ok := any(event).(*E)
	if !ok || *got != want || instance != wantInstance {
		t.Errorf("event %d: %T %+v for instance %d, want %+v for %d", index, event, event, instance, want, wantInstance)
	}
}
