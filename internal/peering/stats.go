package peering

import (
	"sync/atomic"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const maxKinds = 32

// DropCause says why a frame was not delivered.
type DropCause uint8

// The causes of dropped frames.
const (
	DropQueueFull      DropCause = iota // the peer's queue was full
	DropUnreachable                     // no connection could be made
	DropSendFailed                      // the connection refused the frame
	DropMalformed                       // the received bytes are no frame
	DropAssemblyFailed                  // no memory for a large frame
	dropCauses
)

// String returns the cause's name in metrics.
func (c DropCause) String() string {
	return [dropCauses]string{"queue", "unreachable", "send", "malformed", "assembly"}[c]
}

type counters struct {
	sent, received [maxKinds]atomic.Uint64
	drops          [dropCauses]atomic.Uint64
	dials          atomic.Uint64
	silent         atomic.Uint64
	refused        atomic.Uint64
}

func count(c *[maxKinds]atomic.Uint64, k wire.Kind) {
	if int(k) < maxKinds {
		c[k].Add(1)
	}
}

// Stats is a snapshot of a transport's counters.
type Stats struct {
	BytesIn, BytesOut     uint64 // UDP payload
	PacketsIn, PacketsOut uint64
	Sent, Received        map[wire.Kind]uint64 // frames
	Drops                 map[DropCause]uint64
	Dials                 uint64 // connections opened
	Unresponsive          uint64 // connections dropped because nothing came back
	Refused               uint64 // connections refused or closed for what the peer sent
	Connections           int
	Peers                 int // with a queue
}

// Stats returns the current counters.
func (t *Transport) Stats() Stats {
	st := Stats{
		BytesIn: t.traffic.bytesIn.Load(), BytesOut: t.traffic.bytesOut.Load(),
		PacketsIn: t.traffic.packetsIn.Load(), PacketsOut: t.traffic.packetsOut.Load(),
		Sent: map[wire.Kind]uint64{}, Received: map[wire.Kind]uint64{}, Drops: map[DropCause]uint64{},
		Dials: t.counters.dials.Load(), Unresponsive: t.counters.silent.Load(), Refused: t.counters.refused.Load(),
	}
	for k := range maxKinds {
		putCount(st.Sent, wire.Kind(k), t.counters.sent[k].Load())
		putCount(st.Received, wire.Kind(k), t.counters.received[k].Load())
	}
	for c := range dropCauses {
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
