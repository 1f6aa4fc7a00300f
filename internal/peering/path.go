package peering

import (
	"net"
	"strconv"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// path is a socket with its QUIC transport. What lost track of a connection between
// two addresses drops every packet between them, so that a connection that replaces
// a silent one needs a socket, and with it a port, of its own.
type path struct {
	quic *quic.Transport
	conn net.PacketConn
}

func (t *Transport) newPath(conn net.PacketConn) *path {
	return &path{
		quic: &quic.Transport{Conn: &socket{PacketConn: conn, traffic: &t.traffic}},
		conn: conn,
	}
}

// freshPath opens a socket beside the one on which the transport listens.
func (t *Transport) freshPath() (*path, error) {
	open := t.cfg.OpenSocket
	if open == nil {
		open = t.openUDP
	}
	conn, err := open()
	if err != nil {
		return nil, errors.Wrap(err, "peering: open socket")
	}
	return t.newPath(conn), nil
}

func (t *Transport) openUDP() (net.PacketConn, error) {
	host, _, err := net.SplitHostPort(t.Addr().String())
	if err != nil {
		return nil, err
	}
	return net.ListenPacket("udp", net.JoinHostPort(host, strconv.Itoa(0)))
}

func (p *path) close() error {
	err := p.quic.Close()
	_ = p.conn.Close()
	return err
}
