// Package gossip sends small messages between gateways as UDP datagrams.
//
// Delivery is best effort, without acknowledgements and retransmissions: a message is a snapshot
// that the next one replaces, so a lost or delayed message only delays the update. Senders are not
// authenticated: the sender's ID is trustworthy only as far as the network is. Parts of some messages are signed, see
// package msgauth.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// MaxBytes is the maximum size of a datagram. Datagrams of this size are not fragmented on any
// path.
const MaxBytes = 1200

// readBufferBytes is the size of the socket's receive buffer. It holds some seconds of the
// messages of a large fleet while the process is not scheduled.
const readBufferBytes = 1 << 20

// ErrTooLarge is returned for a message that does not fit a datagram.
var ErrTooLarge = errors.New("gossip: the message does not fit a datagram")

// datagram is a frame with the ID of its sender.
type datagram struct {
	_     struct{} `cbor:",toarray"`
	From  fleet.InstanceID
	Frame cbor.RawMessage
}

// Received is a received message.
type Received struct {
	From        fleet.InstanceID // as claimed by the message
	Addr        netip.Addr       // source address
	Incarnation fleet.Incarnation
	Message     wire.Message
}

// Stats holds the numbers of datagrams and their bytes, without the headers of UDP and IP.
type Stats struct {
	PacketsOut, BytesOut uint64
	PacketsIn, BytesIn   uint64
	Malformed            uint64
}

// Transport exchanges messages over one socket. It is safe for concurrent use.
type Transport struct {
	conn        *net.UDPConn
	self        fleet.InstanceID
	incarnation fleet.Incarnation

	packetsOut, bytesOut, packetsIn, bytesIn, malformed atomic.Uint64
}

// Listen opens the socket of a gateway process at IP:port.
func Listen(addr string, self fleet.InstanceID, incarnation fleet.Incarnation) (*Transport, error) {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "gossip: listen")
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, errors.Wrap(err, "gossip: listen")
	}
	_ = conn.SetReadBuffer(readBufferBytes) // on an error the kernel's default remains, which suffices for small fleets
	return &Transport{conn: conn, self: self, incarnation: incarnation}, nil
}

// Addr returns the local address.
func (t *Transport) Addr() net.Addr { return t.conn.LocalAddr() }

// Encode returns the datagram for a message, or ErrTooLarge.
func (t *Transport) Encode(m wire.Message) ([]byte, error) {
	frame, err := wire.Encode(wire.Frame{Header: wire.Header{Incarnation: t.incarnation}, Message: m})
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(datagram{From: t.self, Frame: frame})
	if err != nil {
		return nil, errors.Wrap(err, "gossip: encode")
	}
	if len(b) > MaxBytes {
		return nil, ErrTooLarge
	}
	return b, nil
}

// Send sends a message to IP:port once. The kernel may drop it, for example if the receiver's
// buffer is full.
func (t *Transport) Send(addr string, m wire.Message) error {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errors.Wrap(err, "gossip: send")
	}
	b, err := t.Encode(m)
	if err != nil {
		return err
	}
	if _, err := t.conn.WriteToUDPAddrPort(b, to); err != nil {
		return errors.Wrap(err, "gossip: send")
	}
	t.packetsOut.Add(1)
	t.bytesOut.Add(uint64(len(b)))
	return nil
}

// Serve passes received messages to onMessage until ctx is done or the transport is closed.
// Malformed datagrams are counted, dropped and passed to onError, as are errors of the socket.
func (t *Transport) Serve(ctx context.Context, onMessage func(Received), onError func(from netip.AddrPort, err error)) {
	stop := context.AfterFunc(ctx, func() { _ = t.conn.Close() })
	defer stop()
	buf := make([]byte, MaxBytes+1)
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed) || ctx.Err() != nil:
			return
		case err != nil:
			onError(from, errors.Wrap(err, "gossip: receive")) // such as an ICMP port unreachable for an earlier datagram
			continue
		}
		t.packetsIn.Add(1)
		t.bytesIn.Add(uint64(n))
		received, err := decodeContained(buf[:n])
		if err != nil {
			t.malformed.Add(1)
			onError(from, err)
			continue
		}
		received.Addr = from.Addr().Unmap()
		onMessage(received)
	}
}

// decodeContained is decode with a panic as an error.
func decodeContained(b []byte) (r Received, err error) {
	if p := fault.Catch(func() { r, err = decode(b) }); p != nil {
		return Received{}, p
	}
	return r, err
}

func decode(b []byte) (Received, error) {
	var d datagram
	if err := cbor.Unmarshal(b, &d); err != nil {
		return Received{}, errors.Wrap(err, "gossip: decode")
	}
	f, err := wire.Decode(d.Frame)
	if err != nil {
		return Received{}, err
	}
	return Received{From: d.From, Incarnation: f.Header.Incarnation, Message: f.Message}, nil
}

// Stats returns the counts since Listen.
func (t *Transport) Stats() Stats {
	return Stats{
		PacketsOut: t.packetsOut.Load(), BytesOut: t.bytesOut.Load(),
		PacketsIn: t.packetsIn.Load(), BytesIn: t.bytesIn.Load(),
		Malformed: t.malformed.Load(),
	}
}

// Close closes the socket.
func (t *Transport) Close() error { return errors.Wrap(t.conn.Close(), "gossip: close") }
