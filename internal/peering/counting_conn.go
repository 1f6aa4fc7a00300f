package peering

import (
	"net"
	"sync/atomic"
)

// traffic counts UDP payload bytes and packets.
type traffic struct {
	bytesIn, bytesOut     atomic.Uint64
	packetsIn, packetsOut atomic.Uint64
}

// countingConn counts the packets and bytes of a packet connection. Wrapping the system connection
// also disables the packet batching of quic-go, whose buffers use too much memory for the small volume
// of control traffic.
type countingConn struct {
	net.PacketConn
	*traffic
}

// ReadFrom implements net.PacketConn.
func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(p)
	if err == nil {
		c.packetsIn.Add(1)
		c.bytesIn.Add(uint64(n))
	}
	return n, addr, err
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, addr)
	if err == nil {
		c.packetsOut.Add(1)
		c.bytesOut.Add(uint64(n))
	}
	return n, err
}

type bufferSetter interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// SetReadBuffer sets the size of the system's buffer if the connection has one.
func (c *countingConn) SetReadBuffer(bytes int) error {
	if b, ok := c.PacketConn.(bufferSetter); ok {
		return b.SetReadBuffer(bytes)
	}
	return nil
}

// SetWriteBuffer sets the size of the system's buffer if the connection has one.
func (c *countingConn) SetWriteBuffer(bytes int) error {
	if b, ok := c.PacketConn.(bufferSetter); ok {
		return b.SetWriteBuffer(bytes)
	}
	return nil
}
