package gateway

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/keys"
	"github.com/dandelionvane/dandelionvane/internal/peering"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.LittleEndian.Uint64(b[:])
}

// listenPeers starts the exchange with other gateways.
func (p *process) listenPeers(incarnation uint64) error {
	s := &p.settings
	conf, err := keys.Ephemeral(string(s.Instance))
	if err != nil {
		return err
	}
	conn, err := net.ListenPacket("udp", s.Peers.Addr)
	if err != nil {
		return errors.Wrap(err, "gateway: listen for peers")
	}
	cfg := peering.DefaultConfig()
	cfg.Self = s.Instance
	cfg.Conn = conn
	cfg.TLS = conf
	cfg.Identify = func(cs tls.ConnectionState) (fleet.InstanceID, error) {
		id, err := keys.ClaimedID(cs)
		return fleet.InstanceID(id), err
	}
	cfg.Receive = p.receive
	cfg.Unreachable = func(fleet.InstanceID) {}
	cfg.Refused = func(id fleet.InstanceID, addr net.Addr, err error) {
		event.Record(event.PeerRefused, "peer", id, "addr", addr.String(), "err", err.Error())
	}
	p.incarnation = fleet.Incarnation(incarnation)
	p.peers, err = peering.Listen(cfg)
	return err
}

func (p *process) frame(m wire.Message) wire.Frame {
	return wire.Frame{Header: wire.Header{Incarnation: p.incarnation}, Message: m}
}

func (p *process) receive(from fleet.InstanceID, f wire.Frame) {
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		s.Message(now, from, f.Header.Incarnation, f.Message)
	})
}
