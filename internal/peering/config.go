package peering

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Config holds what a Transport needs and its bounds.
type Config struct {
	Self       fleet.InstanceID
	Conn       net.PacketConn
	OpenSocket func() (net.PacketConn, error) // another socket, to leave a path that went silent; nil: UDP
	TLS        *tls.Config                    // serves both directions and verifies the peer's certificate
	Identify   func(tls.ConnectionState) (fleet.InstanceID, error)

	// OnFrame takes the frames that arrive. It may block and is called concurrently.
	OnFrame func(from fleet.InstanceID, f wire.Frame)
	// OnUnreachable is told of a peer to which a frame could not be delivered.
	OnUnreachable func(peer fleet.InstanceID)
	// OnRefused is told of a peer whose connection was refused or closed for what it sent.
	OnRefused func(peer fleet.InstanceID, addr net.Addr, err error)

	HandshakeTimeout time.Duration
	ReplyTimeout     time.Duration // after a send, without any packet from the peer
	IdleTimeout      time.Duration // of a connection without traffic
	MinBackoff       time.Duration // between attempts to connect
	MaxBackoff       time.Duration
	BanDuration      time.Duration // for which a peer that sent garbage is refused
	MaxQueuedFrames  int           // of one peer
	MaxConnections   int
	MaxAssemblyBytes int64 // of all large frames that are arriving
}

// DefaultConfig returns the defaults of the bounds.
func DefaultConfig() Config {
	return Config{
		HandshakeTimeout: time.Second,
		ReplyTimeout:     1500 * time.Millisecond,
		IdleTimeout:      100 * time.Second,
		MinBackoff:       250 * time.Millisecond,
		MaxBackoff:       4 * time.Second,
		BanDuration:      10 * time.Second,
		MaxQueuedFrames:  64,
		MaxConnections:   1024,
		MaxAssemblyBytes: 8 << 20,
	}
}
