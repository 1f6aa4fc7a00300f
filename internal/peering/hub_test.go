package peering

import (
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/keys"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	hubQueueLength = 1024
	hubLatency     = time.Millisecond
)

// hub is an in-memory network. Packets between a blackholed pair of addresses are dropped.
type hub struct {
	mu          sync.Mutex
	conns       map[string]*hubConn
	lastPort    int
	blackholed  map[[2]string]bool
	unreachable map[string]bool // addresses to which all packets are dropped
}

func newHub() *hub {
	return &hub{conns: map[string]*hubConn{}, blackholed: map[[2]string]bool{}, unreachable: map[string]bool{}}
}

func (h *hub) open() (net.PacketConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastPort++
	c := &hubConn{
		hub:     h,
		addr:    &net.UDPAddr{IP: net.IPv4(192, 0, 2, 1), Port: h.lastPort},
		packets: make(chan hubPacket, hubQueueLength),
		failed:  make(chan struct{}),
	}
	h.conns[c.addr.String()] = c
	return c, nil
}

// blackholePairs drops all further packets between the pairs of addresses that have exchanged
// packets so far.
func (h *hub) blackholePairs() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for pair := range h.blackholed {
		h.blackholed[pair] = true
	}
}

func (h *hub) deliver(from, to net.Addr, b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pair := [2]string{from.String(), to.String()}
	if pair[0] > pair[1] {
		pair[0], pair[1] = pair[1], pair[0]
	}
	if _, known := h.blackholed[pair]; !known {
		h.blackholed[pair] = false
	}
	c := h.conns[to.String()]
	if c == nil || h.blackholed[pair] || h.unreachable[to.String()] {
		return
	}
	p := hubPacket{from, append([]byte(nil), b...)}
	time.AfterFunc(hubLatency, func() {
		select {
		case c.packets <- p:
		default:
		}
	})
}

type hubPacket struct {
	from net.Addr
	data []byte
}

// hubConn is a socket of the hub.
type hubConn struct {
	hub     *hub
	addr    *net.UDPAddr
	packets chan hubPacket

	mu     sync.Mutex
	err    error
	failed chan struct{} // closed when err is set
}

func (c *hubConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		c.mu.Lock()
		err, failed := c.err, c.failed
		c.mu.Unlock()
		if err != nil {
			return 0, nil, err
		}
		select {
		case p := <-c.packets:
			return copy(b, p.data), p.from, nil
		case <-failed:
		}
	}
}

func (c *hubConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.hub.deliver(c.addr, to, b)
	return len(b), nil
}

func (c *hubConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		close(c.failed)
	}
	c.err = err
}

func (c *hubConn) Close() error {
	c.hub.mu.Lock()
	delete(c.hub.conns, c.addr.String())
	c.hub.mu.Unlock()
	c.fail(net.ErrClosed)
	return nil
}

func (c *hubConn) LocalAddr() net.Addr { return c.addr }

// SetReadDeadline supports the two deadlines that quic-go sets: one in the past, and none.
func (c *hubConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.fail(os.ErrDeadlineExceeded)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == os.ErrDeadlineExceeded {
		c.err = nil
		c.failed = make(chan struct{})
	}
	return nil
}

func (c *hubConn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *hubConn) SetWriteDeadline(time.Time) error { return nil }

// testCA issues certificates for tests.
type testCA struct {
	ca  *keys.CA
	dir string
}

func newTestCA(t testing.TB) *testCA {
	ca, err := keys.NewCA()
	if err != nil {
		t.Fatal(err)
	}
	a := &testCA{ca: ca, dir: t.TempDir()}
	if err := ca.WriteFiles(a.dir); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *testCA) config(t testing.TB, id string) *tls.Config {
	pair, err := a.ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.WriteFiles(a.dir); err != nil {
		t.Fatal(err)
	}
	cfg, err := keys.LoadTLSConfig(filepath.Join(a.dir, keys.CACertFile), filepath.Join(a.dir, id+".pem"), filepath.Join(a.dir, id+"-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	issued := time.Now() // the virtual time is earlier than the start of the certificate's validity
	cfg.Time = func() time.Time { return issued }
	return cfg
}

// node is a transport that records its callbacks.
type node struct {
	*Transport
	frames      chan string
	unreachable chan fleet.InstanceID
	refused     chan string
}

// newNode starts a transport on conn. The certificate in tlsConfig may be of another CA than that
// of the peers.
func newNode(t testing.TB, tlsConfig *tls.Config, id string, conn net.PacketConn, open func() (net.PacketConn, error)) *node {
	n := &node{
		frames:      make(chan string, hubQueueLength),
		unreachable: make(chan fleet.InstanceID, hubQueueLength),
		refused:     make(chan string, hubQueueLength),
	}
	cfg := DefaultConfig()
	cfg.Self = fleet.InstanceID(id)
	cfg.Conn = conn
	cfg.OpenSocket = open
	cfg.TLS = tlsConfig
	cfg.Identify = func(cs tls.ConnectionState) (fleet.InstanceID, error) {
		peer, err := keys.PeerInstanceID(cs)
		return fleet.InstanceID(peer), err
	}
	cfg.OnFrame = func(from fleet.InstanceID, f wire.Frame) {
		n.frames <- fmt.Sprintf("%s: %s", from, describe(f))
	}
	cfg.OnUnreachable = func(id fleet.InstanceID) { n.unreachable <- id }
	cfg.OnRefused = func(id fleet.InstanceID, _ net.Addr, err error) { n.refused <- fmt.Sprintf("%s: %v", id, err) }
	tr, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	n.Transport = tr
	return n
}

func (n *node) send(to string, peer *node, f wire.Frame) {
	n.Send(fleet.InstanceID(to), peer.Addr().String(), f)
}

// frame returns a frame of at least size bytes.
func frame(name string, size int) wire.Frame {
	return wire.Frame{Message: wire.Redeem{Key: name, Request: fleet.RequestID(make([]byte, size))}}
}

func describe(f wire.Frame) string {
	m := f.Message.(wire.Redeem)
	return fmt.Sprintf("%s %d", m.Key, len(m.Request))
}
