package peering

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/dandelionvane/dandelionvane/internal/bytebudget"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const protocolName = "dandelionvane/1"

// Flow control windows and stream limits. They bound the memory that a peer can use in this
// process, and are low because control traffic is small.
const (
	streamWindowBytes     = 32 << 10
	connectionWindowBytes = 64 << 10
	maxIncomingStreams    = 2
	maxOutgoingStreams    = 2
)

const (
	codeClosed         quic.ApplicationErrorCode = 0
	codeUnresponsive   quic.ApplicationErrorCode = 1
	codeMalformed      quic.ApplicationErrorCode = 2
	codeRefused        quic.ApplicationErrorCode = 3
	codeAddressChanged quic.ApplicationErrorCode = 4
)

// ErrMalformed reports a peer that sent a malformed frame.
var ErrMalformed = errors.New("peering: the peer sent a malformed frame")

var errBanned = errors.New("peering: the peer is banned after a malformed frame")

// Transport exchanges frames with peers. It is safe for concurrent use.
type Transport struct {
	cfg        Config
	traffic    traffic
	listenPath *path // path on which the transport listens
	listener   *quic.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	wg         sync.WaitGroup
	assembly   bytebudget.Budget
	counters   counters

	mu          sync.Mutex
	closed      bool
	peers       map[fleet.InstanceID]*peer
	conns       map[*quic.Conn]fleet.InstanceID
	bannedUntil map[fleet.InstanceID]time.Time
}

// Listen starts a transport on cfg.Conn and takes ownership of it.
func Listen(cfg Config) (*Transport, error) {
	t := &Transport{
		cfg:         cfg,
		assembly:    bytebudget.Budget{Limit: cfg.MaxFrameBufferBytes},
		peers:       map[fleet.InstanceID]*peer{},
		conns:       map[*quic.Conn]fleet.InstanceID{},
		bannedUntil: map[fleet.InstanceID]time.Time{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listenPath = t.newPath(cfg.Conn)
	l, err := t.listenPath.quic.Listen(t.serverTLS(), t.quicConfig())
	if err != nil {
		t.cancel()
		return nil, errors.Wrap(err, "peering: listen")
	}
	t.listener = l
	t.wg.Go(t.acceptConns)
	return t, nil
}

func (t *Transport) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           t.cfg.HandshakeTimeout,
		MaxIdleTimeout:                 t.cfg.IdleTimeout,
		InitialStreamReceiveWindow:     streamWindowBytes,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: connectionWindowBytes,
		MaxConnectionReceiveWindow:     connectionWindowBytes,
		MaxIncomingStreams:             -1,
		MaxIncomingUniStreams:          maxIncomingStreams,
		DisablePathMTUDiscovery:        true,
		EnableDatagrams:                true,
	}
}

func (t *Transport) serverTLS() *tls.Config {
	c := t.cfg.TLS.Clone()
	c.NextProtos = []string{protocolName}
	c.SessionTicketsDisabled = true // a session ticket holds the certificate and costs a packet
	return c
}

// clientTLS returns a configuration that accepts only the given peer.
func (t *Transport) clientTLS(want fleet.InstanceID) *tls.Config {
	c := t.serverTLS()
	c.VerifyConnection = func(cs tls.ConnectionState) error {
		got, err := t.cfg.Identify(cs)
		if err != nil {
			return err
		}
		if got != want {
			return errors.Errorf("peering: connected to peer %s, want %s", got, want)
		}
		return nil
	}
	return c
}

// Addr returns the local address.
func (t *Transport) Addr() net.Addr { return t.cfg.Conn.LocalAddr() }

// Send queues a frame for a peer at addr. With an empty addr the frame is sent only if the peer has
// an open connection. Send never blocks.
func (t *Transport) Send(to fleet.InstanceID, addr string, f wire.Frame) {
	p := t.peerFor(to)
	if p == nil {
		return
	}
	select {
	case p.queue <- queuedFrame{addr: addr, frame: f}:
	default:
		t.drop(DropQueueFull)
	}
}

// peerFor returns the peer, which it adds if needed, or nil when the transport is closed.
func (t *Transport) peerFor(id fleet.InstanceID) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	p, ok := t.peers[id]
	if !ok {
		p = newPeer(t, id)
		t.peers[id] = p
		t.wg.Go(p.run)
	}
	return p
}

// removeIdlePeer removes a peer without traffic. It returns false if a frame has been queued
// meanwhile.
func (t *Transport) removeIdlePeer(p *peer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(t.peers, p.id)
	return true
}

// Close closes all connections and waits for the goroutines of the transport.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.closed = true
	conns := make([]*quic.Conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	t.cancel()
	for _, c := range conns {
		_ = c.CloseWithError(codeClosed, "")
	}
	_ = t.listener.Close()
	err := t.listenPath.close()
	t.wg.Wait()
	return errors.Wrap(err, "peering: close")
}

func (t *Transport) drop(c DropCause) { t.counters.drops[c].Add(1) }
