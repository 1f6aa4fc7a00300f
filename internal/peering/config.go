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
	Conn       net.PacketConn
	OpenSocket func() (net.PacketConn, error) // opens a further socket for a new path to a peer; nil: UDP on the listener's address
	TLS        *tls.Config                    // used for both directions; verifies the peer's certificate
	Identify   func(tls.ConnectionState) (fleet.InstanceID, error)

	// OnFrame handles a received frame. It may block and is called concurrently.
	OnFrame func(from fleet.InstanceID, f wire.Frame)
	// OnUnreachable is called when a connection to a peer cannot be made or became unresponsive.
	OnUnreachable func(peer fleet.InstanceID)
	// OnRefused is called when a peer's connection is refused, or closed because of a malformed
	// frame.
	OnRefused func(peer fleet.InstanceID, addr net.Addr, err error)

	HandshakeTimeout    time.Duration
	UnresponsiveTimeout time.Duration // without any packet from the peer after a send; then the connection is closed
	IdleTimeout         time.Duration // of a connection or a peer without traffic
	MinBackoff          time.Duration // between dials of a peer; doubles with each failure
	MaxBackoff          time.Duration
	BanDuration         time.Duration // for which connections of a peer are refused after a malformed frame
	MaxQueuedFrames     int           // per peer
	MaxConnections      int
	MaxFrameBufferBytes int64 // for all large frames that are being received
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
