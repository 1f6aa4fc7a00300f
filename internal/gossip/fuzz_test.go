package gossip

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// FuzzRoundTrip checks that any datagram is either refused or decoded to a message that is encoded and decoded to the
// same again.
func FuzzRoundTrip(f *testing.F) {
	for _, m := range []wire.Message{
		wire.Status{Timestamp: 1, Echo: 2, InFlight: wire.Counts{1: 2}, Hello: &wire.Hello{Addr: "127.0.0.1:1"}},
		wire.StreamOrigins{Origins: []wire.StreamOrigin{{Stream: 1, Version: 2, Endpoint: 3, AgeMS: 4, LeftMS: 5}}},
		wire.OriginQuery{Query: 1, Stream: 2, Services: []uint32{3}},
		wire.OriginReply{Query: 1, Recorded: true, Version: 2, SoleVersion: 3, AgeMS: 4},
	} {
		frame, err := wire.Encode(wire.Frame{Message: m})
		if err != nil {
			f.Fatal(err)
		}
		b, err := cbor.Marshal(datagram{From: "a-1", Frame: frame})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := decode(b)
		if err != nil {
			return
		}
		frame, err := wire.Encode(wire.Frame{Header: wire.Header{Incarnation: r.Incarnation}, Message: r.Message})
		if err != nil {
			t.Fatalf("%+v cannot be encoded: %v", r.Message, err)
		}
		again, err := wire.Decode(frame)
		if err != nil || !reflect.DeepEqual(again.Message, r.Message) {
			t.Fatalf("%+v is decoded again as %+v, %v", r.Message, again.Message, err)
		}
	})
}
