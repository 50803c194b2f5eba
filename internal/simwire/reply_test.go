package simwire

import (
	"bytes"
	"encoding/hex"
	"testing"
)

func TestWriteReply(t *testing.T) {
	var r Reply
	tests := []struct {
		name  string
		batch uint32
		make  func()
		want  string
	}{
		{"empty", 1, func() {}, "0c000000 00000000 01000000"},
		{"three", 12, func() {
			r.ForwardRequest(3, 0x5d3a91c4, 0x03124a07, 80)
			r.SetTimer(3, 500, 77)
			r.Log(5, "two servers unknown")
		}, "67000000 03000000 0c000000" +
			"46 0300 c4913a5d 074a1203 0000000000005440" + zeros(5) +
			"50 0300 0000000000407f40 4d00000000000000" + zeros(5) +
			"32 0500 00000000 13000000" + zeros(13) + hex.EncodeToString([]byte("two servers unknown"))},
		{"final responses", 2, func() {
			r.FailRequest(3, 0x0e6f2b19)
			r.RejectRequest(3, 0x5d3a91c4, 250)
			r.CancelAttempt(3, 0x5d3a91c4, 0)
			r.WatchEndpoints(3)
			r.ReportPanic(3, "index out of range")
		}, "96000000 05000000 02000000" +
			"64 0300 192b6f0e" + zeros(17) +
			"28 0300 c4913a5d 0000000000406f40" + zeros(9) +
			"5a 0300 c4913a5d 0000" + zeros(15) +
			"78 0300 01" + zeros(20) +
			"14 0300 00000000 12000000" + zeros(13) + hex.EncodeToString([]byte("index out of range"))},
	}
	for _, tt := range tests {
		var w bytes.Buffer
		r.Reset()
		tt.make()
		if err := r.Write(&w, tt.batch); err != nil {
			t.Fatal(err)
		}
		if want := fromHex(t, tt.want); !bytes.Equal(w.Bytes(), want) {
			t.Errorf("%s:\ngot  %x\nwant %x", tt.name, w.Bytes(), want)
		}
	}
}
