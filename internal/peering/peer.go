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

// maxDatagramBytes is what fits one packet of the minimum size on every path.
const maxDatagramBytes = 1100

const streamWriteTimeout = 5 * time.Second

type outgoing struct {
	addr  string
	frame wire.Frame
}

// peer sends to one peer. Its goroutine owns the fields after current.
type peer struct {
	t       *Transport
	id      fleet.InstanceID
	queue   chan outgoing
	adopted chan *quic.Conn // connections that the peer opened or prefers
	streams chan struct{}   // slots of large frames on their way

	current  atomic.Pointer[quic.Conn] // conn, for others to compare
	conn     *quic.Conn
	leave    bool   // the path from the home socket failed
	addr     string // at which the core last placed the peer
	failures int
	nextDial time.Time
	check    replyCheck
}

func newPeer(t *Transport, id fleet.InstanceID) *peer {
	return &peer{
		t:       t,
		id:      id,
		queue:   make(chan outgoing, t.cfg.MaxQueuedFrames),
		adopted: make(chan *quic.Conn, 1),
		streams: make(chan struct{}, maxOutgoingStreams),
	}
}

func (p *peer) run() {
	idle := time.NewTimer(p.t.cfg.IdleTimeout)
	defer idle.Stop()
	for {
		select {
		case o := <-p.queue:
			idle.Reset(p.t.cfg.IdleTimeout)
			p.deliver(o)
		case c := <-p.adopted:
			p.adopt(c)
		case <-p.check.due():
			p.checkReply()
		case <-idle.C:
			if p.t.retire(p) {
				return
			}
		case <-p.t.ctx.Done():
			return
		}
	}
}

// adopt makes a connection the current one. The one before stays open for what the
// peer still sends on it and ends when it is idle.
func (p *peer) adopt(c *quic.Conn) {
	p.use(c)
	p.failures = 0
	p.nextDial = time.Time{}
	p.check.disarm()
}

func (p *peer) use(c *quic.Conn) {
	p.conn = c
	p.current.Store(c)
}

func (p *peer) deliver(o outgoing) {
	b, err := wire.Encode(o.frame)
	if err != nil || len(b) > wire.MaxFrameBytes {
		p.t.drop(DropSendFailed)
		return
	}
	c := p.connection(o.addr)
	if c == nil {
		p.t.drop(DropUnreachable)
		return
	}
	if err := p.send(c, b); err != nil {
		p.t.drop(DropSendFailed)
		return
	}
	count(&p.t.counters.sent, o.frame.Message.Kind())
	p.check.arm(c, p.t.cfg.ReplyTimeout)
}

// connection returns the current connection, or a new one, or nil.
func (p *peer) connection(addr string) *quic.Conn {
	if addr == "" {
		return p.accepted()
	}
	if p.addr != "" && p.addr != addr && p.conn != nil {
		_ = p.conn.CloseWithError(codeMoved, "")
		p.use(nil)
		p.nextDial = time.Time{}
	}
	p.addr = addr
	if p.conn != nil && p.conn.Context().Err() == nil {
		return p.conn
	}
	p.use(nil)
	if time.Now().Before(p.nextDial) {
		return nil
	}
	return p.dial(addr)
}

// accepted returns the current connection to a peer whose address is not known, or nil.
func (p *peer) accepted() *quic.Conn {
	if p.conn == nil || p.conn.Context().Err() != nil {
		return nil
	}
	return p.conn
}

func (p *peer) dial(addr string) *quic.Conn {
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		p.fail()
		return nil
	}
	via := p.t.home
	if p.leave {
		if via, err = p.t.freshPath(); err != nil {
			p.fail()
			return nil
		}
	}
	c, err := p.dialVia(via, udp)
	if err != nil {
		p.t.release(via)
		p.fail()
		return nil
	}
	if !p.t.open(c, p.id, via) {
		p.t.release(via)
		return nil
	}
	p.adopt(c)
	return c
}

func (p *peer) dialVia(via *path, addr *net.UDPAddr) (*quic.Conn, error) {
	p.t.counters.dials.Add(1)
	ctx, cancel := context.WithTimeout(p.t.ctx, p.t.cfg.HandshakeTimeout)
	defer cancel()
	return via.quic.Dial(ctx, addr, p.t.clientTLS(p.id), p.t.quicConfig())
}

// fail tells the core and spaces the next attempt.
func (p *peer) fail() {
	cfg := &p.t.cfg
	d := min(cfg.MinBackoff<<min(p.failures, 16), cfg.MaxBackoff)
	p.failures++
	p.leave = true
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
	case p.streams <- struct{}{}:
	default:
		return errors.New("peering: too many large frames on their way")
	}
	p.t.wg.Go(func() {
		defer func() { <-p.streams }()
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

// checkReply drops the connection when no packet came back since the first
// unanswered send.
func (p *peer) checkReply() {
	c := p.check.conn
	answered := p.check.answered()
	p.check.disarm()
	if answered || c.Context().Err() != nil {
		return
	}
	p.t.counters.silent.Add(1)
	_ = c.CloseWithError(codeSilent, "")
	p.leave = true
	if p.conn == c {
		p.use(nil)
	}
	p.t.cfg.OnUnreachable(p.id)
}
