package peering

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Config configures a Transport.
type Config struct {
	Self       fleet.InstanceID
	Conn       net.PacketConn                                      // socket on which the transport listens; the Transport closes it
	OpenSocket func() (net.PacketConn, error)                      // opens a further socket for dialling; nil: a UDP socket on the listener's address
	TLS        *tls.Config                                         // used for both directions; verifies the peer's certificate
	Identify   func(tls.ConnectionState) (fleet.InstanceID, error) // returns the ID in a peer's certificate

	// OnFrame handles a received frame. It may block and is called concurrently.
	OnFrame func(from fleet.InstanceID, f wire.Frame)
	// OnUnreachable is called when a connection to a peer cannot be opened or is closed as unresponsive.
	OnUnreachable func(peer fleet.InstanceID)
	// OnRefused is called when a peer's connection is refused, or closed because of a malformed
	// frame.
	OnRefused func(peer fleet.InstanceID, addr net.Addr, err error)

	HandshakeTimeout    time.Duration
	UnresponsiveTimeout time.Duration // a connection is closed if no packet, not even an acknowledgement, arrives this long after a send
	IdleTimeout         time.Duration // a connection or peer without traffic for this long is removed
	MinBackoff          time.Duration // backoff after the first failed dial of a peer; doubles with each failure up to MaxBackoff
	MaxBackoff          time.Duration
	BanDuration         time.Duration // how long connections of a peer are refused after a malformed frame
	MaxQueuedFrames     int           // length of a peer's send queue
	MaxConnections      int
	MaxFrameBufferBytes int64 // total size of the buffers of large frames that are being received
}

// DefaultConfig returns a Config with the default limits and timeouts.
func DefaultConfig() Config {
	return Config{
		HandshakeTimeout:    time.Second,
		UnresponsiveTimeout: 1500 * time.Millisecond,
		IdleTimeout:         100 * time.Second,
		MinBackoff:          250 * time.Millisecond,
		MaxBackoff:          4 * time.Second,
		BanDuration:         10 * time.Second,
		MaxQueuedFrames:     64,
		MaxConnections:      1024,
		MaxFrameBufferBytes: 8 << 20,
	}
}
