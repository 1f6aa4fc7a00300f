package peering

import (
	"net"
	"strconv"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// udpSocket is a UDP socket with its QUIC transport. A middlebox or host that has lost the state of a
// flow may drop every packet between two addresses. A connection that replaces an unresponsive one
// therefore uses a new socket, and so another local port.
type udpSocket struct {
	quic *quic.Transport
	conn net.PacketConn
}

func (t *Transport) newSocket(conn net.PacketConn) *udpSocket {
	return &udpSocket{
		quic: &quic.Transport{Conn: &countingConn{PacketConn: conn, traffic: &t.traffic}},
		conn: conn,
	}
}

// openSocket opens a socket in addition to the one on which the transport listens.
func (t *Transport) openSocket() (*udpSocket, error) {
	open := t.cfg.OpenSocket
	if open == nil {
		open = t.openUDP
	}
	conn, err := open()
	if err != nil {
		return nil, errors.Wrap(err, "peering: open socket")
	}
	return t.newSocket(conn), nil
}

func (t *Transport) openUDP() (net.PacketConn, error) {
	host, _, err := net.SplitHostPort(t.Addr().String())
	if err != nil {
		return nil, err
	}
	return net.ListenPacket("udp", net.JoinHostPort(host, strconv.Itoa(0)))
}

func (s *udpSocket) close() error {
	err := s.quic.Close()
	_ = s.conn.Close()
	return err
}
