package peering

import (
	"sync/atomic"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxMessageKinds is the number of message kinds that are counted.
const maxMessageKinds = 32

// DropCause is the reason why a frame was dropped.
type DropCause uint8

// The reasons for dropping a frame.
const (
	DropQueueFull      DropCause = iota // the peer's queue is full
	DropUnreachable                     // there is no connection to the peer
	DropSendFailed                      // the frame cannot be encoded or sent
	DropMalformed                       // the received bytes are not a valid frame
	DropAssemblyFailed                  // a large frame was not received completely, or exceeded MaxFrameBufferBytes
	dropCauseCount
)

// String returns the label of the cause in metrics.
func (c DropCause) String() string {
	return [dropCauseCount]string{"queue", "unreachable", "send", "malformed", "assembly"}[c]
}

type counters struct {
	sent, received [maxMessageKinds]atomic.Uint64
	drops          [dropCauseCount]atomic.Uint64
	dials          atomic.Uint64
	unresponsive   atomic.Uint64
	refused        atomic.Uint64
}

func countFrame(c *[maxMessageKinds]atomic.Uint64, k wire.Kind) {
	if int(k) < maxMessageKinds {
		c[k].Add(1)
	}
}

// Stats is a snapshot of a transport's counters.
type Stats struct {
	BytesIn, BytesOut     uint64 // UDP payload
	PacketsIn, PacketsOut uint64
	Sent, Received        map[wire.Kind]uint64 // frames
	Drops                 map[DropCause]uint64
	Dials                 uint64 // connection attempts, including failed ones
	Unresponsive          uint64 // connections closed by UnresponsiveTimeout
	Refused               uint64 // connections refused, or closed because of a malformed frame
	Connections           int
	Peers                 int // peers with a running send goroutine
}

// Stats returns the current counters.
func (t *Transport) Stats() Stats {
	st := Stats{
		BytesIn: t.traffic.bytesIn.Load(), BytesOut: t.traffic.bytesOut.Load(),
		PacketsIn: t.traffic.packetsIn.Load(), PacketsOut: t.traffic.packetsOut.Load(),
		Sent: map[wire.Kind]uint64{}, Received: map[wire.Kind]uint64{}, Drops: map[DropCause]uint64{},
		Dials: t.counters.dials.Load(), Unresponsive: t.counters.unresponsive.Load(), Refused: t.counters.refused.Load(),
	}
	for k := range maxMessageKinds {
		putCount(st.Sent, wire.Kind(k), t.counters.sent[k].Load())
		putCount(st.Received, wire.Kind(k), t.counters.received[k].Load())
	}
	for c := range dropCauseCount {
		putCount(st.Drops, c, t.counters.drops[c].Load())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	st.Connections = len(t.conns)
	st.Peers = len(t.peers)
	return st
}

func putCount[K comparable](m map[K]uint64, k K, n uint64) {
	if n > 0 {
		m[k] = n
	}
}

// MarshalText implements encoding.TextMarshaler.
func (c DropCause) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
