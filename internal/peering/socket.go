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

// countingConn counts the packets of a packet connection. Wrapping the system connection also disables
// the packet batching of quic-go, whose buffers use too much memory for the small volume of control
// traffic.
type countingConn struct {
	net.PacketConn
	*traffic
}

// ReadFrom implements net.PacketConn.
func (s *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, addr, err := s.PacketConn.ReadFrom(p)
	if err == nil {
		s.packetsIn.Add(1)
		s.bytesIn.Add(uint64(n))
	}
	return n, addr, err
}

// WriteTo implements net.PacketConn.
func (s *countingConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	n, err := s.PacketConn.WriteTo(p, addr)
	if err == nil {
		s.packetsOut.Add(1)
		s.bytesOut.Add(uint64(n))
	}
	return n, err
}

type bufferSetter interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// SetReadBuffer sets the size of the system's buffer if the connection has one.
func (s *countingConn) SetReadBuffer(bytes int) error {
	if b, ok := s.PacketConn.(bufferSetter); ok {
		return b.SetReadBuffer(bytes)
	}
	return nil
}

// SetWriteBuffer sets the size of the system's buffer if the connection has one.
func (s *countingConn) SetWriteBuffer(bytes int) error {
	if b, ok := s.PacketConn.(bufferSetter); ok {
		return b.SetWriteBuffer(bytes)
	}
	return nil
}
