package peering

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxDatagramBytes is the largest frame sent as a datagram. It fits into a QUIC packet of the
// minimum size that every network path supports.
const maxDatagramBytes = 1100

const streamWriteTimeout = 5 * time.Second

type queuedFrame struct {
	addr  string
	frame wire.Frame
}

// peer sends frames to one peer. The goroutine running run owns the fields after current.
type peer struct {
	t             *Transport
	id            fleet.InstanceID
	queue         chan queuedFrame
	adoptRequests chan *quic.Conn // connection that run makes the current one
	streamSlots   chan struct{}   // limits the large frames being sent

	current           atomic.Pointer[quic.Conn] // same as conn, for concurrent readers
	conn              *quic.Conn
	avoidListenSocket bool      // a connection over the listening socket failed: dial from a new socket
	addr              string    // last address given to Send
	failures          int       // consecutive failed dials
	nextDial          time.Time // end of the backoff
	check             livenessCheck
}

func newPeer(t *Transport, id fleet.InstanceID) *peer {
	return &peer{
		t:             t,
		id:            id,
		queue:         make(chan queuedFrame, t.cfg.MaxQueuedFrames),
		adoptRequests: make(chan *quic.Conn, 1),
		streamSlots:   make(chan struct{}, maxOutgoingStreams),
	}
}

func (p *peer) run() {
	idle := time.NewTimer(p.t.cfg.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case qf := <-p.queue:
			idle.Reset(p.t.cfg.IdleTimeout)
			p.adoptPending()
			p.sendFrame(qf)
		case c := <-p.adoptRequests:
			p.adopt(c)
		case <-p.check.timeout():
			p.checkLiveness()
		case <-idle.C:
			if p.t.removeIdlePeer(p) {
				return
			}
		case <-p.t.ctx.Done():
			return
		}
	}
}

// adoptPending adopts a connection that is waiting, so that no other one is dialled for a frame that was
// queued after it.
func (p *peer) adoptPending() {
	select {
	case c := <-p.adoptRequests:
		p.adopt(c)
	default:
	}
}

// adopt makes a connection the current one, on which frames are sent. The previous one stays open for
// frames that the peer still sends on it, and is closed by its idle timeout.
func (p *peer) adopt(c *quic.Conn) {
	p.setConn(c)
	p.failures = 0
	p.nextDial = time.Time{}
	p.check.disarm()
}

func (p *peer) setConn(c *quic.Conn) {
	p.conn = c
	p.current.Store(c)
}

// sendFrame sends a queued frame on the current connection, which it dials if needed, and starts a
// liveness check.
func (p *peer) sendFrame(qf queuedFrame) {
	b, err := wire.Encode(qf.frame)
	if err != nil || len(b) > wire.MaxFrameBytes {
		p.t.drop(DropSendFailed)
		return
	}
	c := p.connection(qf.addr)
	if c == nil {
		p.t.drop(DropUnreachable)
		return
	}
	if err := p.send(c, b); err != nil {
		p.t.drop(DropSendFailed)
		return
	}
	countFrame(&p.t.counters.sent, qf.frame.Message.Kind())
	p.check.arm(c, p.t.cfg.UnresponsiveTimeout)
}

// connection returns the current connection, or dials addr if there is none or the address of the peer
// has changed. It returns nil if the dial fails, a backoff is running, or addr is "" and there is no
// current connection.
func (p *peer) connection(addr string) *quic.Conn {
	if addr == "" {
		return p.liveConn()
	}
	if p.addr != "" && p.addr != addr && p.conn != nil {
		_ = p.conn.CloseWithError(codeAddressChanged, "")
		p.setConn(nil)
		p.nextDial = time.Time{}
	}
	p.addr = addr
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn
	}
	p.setConn(nil)
	if time.Now().Before(p.nextDial) {
		return nil
	}
	return p.dial(addr)
}

// liveConn returns the current connection if it is open, or nil.
func (p *peer) liveConn() *quic.Conn {
	if p.conn == nil || p.conn.Context().Err() != nil {
		return nil
	}
	return p.conn
}

func (p *peer) dial(addr string) *quic.Conn {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		p.onDialFailure()
		return nil
	}
	via := p.t.listenSocket
	if p.avoidListenSocket {
		if via, err = p.t.openSocket(); err != nil {
			p.onDialFailure()
			return nil
		}
	}
	c, err := p.dialVia(via, udp)
	if err != nil {
		p.t.releaseSocket(via)
		p.onDialFailure()
		return nil
	}
	if !p.t.addConn(c, p.id, via) {
		p.t.releaseSocket(via)
		return nil
	}
	p.adopt(c)
	return c
}

func (p *peer) dialVia(via *udpSocket, addr *net.UDPAddr) (*quic.Conn, error) {
	p.t.counters.dials.Add(1)
	ctx, cancel := context.WithTimeout(p.t.ctx, p.t.cfg.HandshakeTimeout)
	defer cancel()
	return via.quic.Dial(ctx, addr, p.t.clientTLS(p.id), p.t.quicConfig())
}

// onDialFailure reports the peer as unreachable and delays the next dial by the exponential backoff,
// with jitter over its upper half.
func (p *peer) onDialFailure() {
	cfg := &p.t.cfg
	d := min(cfg.MinBackoff<<min(p.failures, 16), cfg.MaxBackoff)
	p.failures++
	p.avoidListenSocket = true
	p.nextDial = time.Now().Add(d/2 + rand.N(d/2+1))
	if p.t.ctx.Err() == nil {
		cfg.OnUnreachable(p.id)
	}
}

func (p *peer) send(c *quic.Conn, b []byte) error {
	if len(b) <= maxDatagramBytes {
		err := c.SendDatagram(b)
		var large *quic.DatagramTooLargeError
		if !errors.As(err, &large) {
			return errors.Wrap(err, "peering: send datagram")
		}
	}
	select {
	case p.streamSlots <- struct{}{}:
	default:
		return errors.New("peering: too many large frames in flight")
	}
	p.t.wg.Go(func() {
		defer func() { <-p.streamSlots }()
		p.sendStream(c, b)
	})
	return nil
}

func (p *peer) sendStream(c *quic.Conn, b []byte) {
	ctx, cancel := context.WithTimeout(c.Context(), streamWriteTimeout)
	defer cancel()
	s, err := c.OpenUniStreamSync(ctx)
	if err != nil {
		p.t.drop(DropSendFailed)
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	if _, err := s.Write(b); err != nil {
		s.CancelWrite(0)
		p.t.drop(DropSendFailed)
		return
	}
	_ = s.Close()
}

// checkLiveness closes the connection if no packet, not even an acknowledgement, was received since
// the send that armed the check.
func (p *peer) checkLiveness() {
	c := p.check.conn
	packetReceived := p.check.packetReceived()
	p.check.disarm()
	if packetReceived || c.Context().Err() != nil {
		return
	}
	p.t.counters.unresponsive.Add(1)
	_ = c.CloseWithError(codeUnresponsive, "")
	p.avoidListenSocket = true
	if p.conn == c {
		p.setConn(nil)
	}
	p.t.cfg.OnUnreachable(p.id)
}
