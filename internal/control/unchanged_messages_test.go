package control_test

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
)

// sentMessages summarizes the messages that the gateways of a simulation send.
type sentMessages struct {
	count, bytes int
	digest       string // of the senders and frames, in order; the keys of maps, whose order is random, are sorted
}

// sortKeys returns a frame with the keys of its maps in order.
func sortKeys(frame []byte) []byte {
	var content any
	if err := cbor.Unmarshal(frame, &content); err != nil {
		panic(err)
	}
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	sorted, err := mode.Marshal(content)
	if err != nil {
		panic(err)
	}
	return sorted
}

// recordMessages returns a function that returns a summary of the messages sent since the call of recordMessages.
func recordMessages(w *controltest.World) func() sentMessages {
	var sent sentMessages
	h := sha256.New()
	w.OnSend = func(n *controltest.Node, frame []byte) {
		sent.count++
		sent.bytes += len(frame)
		_, _ = h.Write([]byte(n.ID))
		_, _ = h.Write(sortKeys(frame))
	}
	return func() sentMessages {
		sent.digest = hex.EncodeToString(h.Sum(nil)[:8])
		return sent
	}
}

// TestMessagesWithThreeFigures: where endpoints report only running and waiting requests and slots, gateways send exactly
// the messages of the version before the exchange of speeds and pending reads. The expected values are from commit
// 907b70e. It guards against a change of the encoding, of the send times or of placements in such fleets.
func TestMessagesWithThreeFigures(t *testing.T) {
	for _, c := range []struct {
		name string
		new  func(*testing.T) *controltest.World
		rate float64
		want sentMessages
	}{
		{"9 gateways", func(t *testing.T) *controltest.World { return smallFleet(t) }, 120, sentMessages{2353, 177479, "afa071ef5a4d8957"}},
		{"83 gateways", largeFleet, 1000, sentMessages{7661, 1006482, "b9effeafa9015ada"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := c.new(t)
			for _, e := range w.Endpoints {
				e.ReportsLoad = true
			}
			sent := recordMessages(w)
			sendLoad(w, c.rate, w.Now().Add(4*time.Second), chatRequests(w, 300, 0.05), ignore)
			w.Run(4 * time.Second)
			if got := sent(); got != c.want {
				t.Errorf("sent %+v, before %+v", got, c.want)
			}
		})
	}
}
