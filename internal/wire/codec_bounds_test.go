package wire

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// TestLengthsInAFrameReserveNothing checks that Decode allocates no memory for the announced
// length of an array that the frame does not contain, and rejects frames above MaxFrameBytes.
func TestLengthsInAFrameReserveNothing(t *testing.T) {
	const maxAllocBytes = 1 << 20
	hugeArray := append([]byte{0x82, 0x9a, 0, 1, 0xff, 0xff}, make([]byte, 16)...) // LoadGossip of 131,071 loads
	encoded, err := cbor.Marshal(envelope{Kind: KindLoadGossip, Body: cbor.RawMessage{0x82, 0x80, 0xf4}})
	if err != nil {
		t.Fatal(err)
	}
	frame := append(bytes.TrimSuffix(encoded, []byte{0x82, 0x80, 0xf4}), hugeArray...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = Decode(frame)
	runtime.ReadMemStats(&after)
	if err == nil {
		t.Error("a frame with a truncated array was decoded")
	}
	if got := after.TotalAlloc - before.TotalAlloc; got > maxAllocBytes {
		t.Errorf("decoding allocated %d bytes for a frame of %d bytes", got, len(frame))
	}
	large, err := Encode(Frame{Message: Settle{Response: &StoredResponse{Body: make([]byte, MaxFrameBytes)}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Decode(large); !errors.Is(err, ErrMalformed) {
		t.Errorf("Decode of a frame of %d bytes: error %v, want ErrMalformed", len(large), err)
	}
}
