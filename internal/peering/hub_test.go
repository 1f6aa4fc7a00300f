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
	hubQueue   = 1024
	hubLatency = time.Millisecond
)

// hub is a network in memory. A silent pair of addresses carries nothing for good.
type hub struct {
	mu     sync.Mutex
	ports  map[string]*hubConn
	next   int
	silent map[[2]string]bool
	down   map[string]bool // addresses that nothing reaches
}

func newHub() *hub {
	return &hub{ports: map[string]*hubConn{}, silent: map[[2]string]bool{}, down: map[string]bool{}}
}

func (h *hub) open() (net.PacketConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	c := &hubConn{
		hub:     h,
		addr:    &net.UDPAddr{IP: net.IPv4(192, 0, 2, 1), Port: h.next},
		packets: make(chan hubPacket, hubQueue),
		wake:    make(chan struct{}),
	}
	h.ports[c.addr.String()] = c
	return c, nil
}

// silence drops all packets from now on between the pairs that talked so far.
func (h *hub) silence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for pair := range h.silent {
		h.silent[pair] = true
	}
}

func (h *hub) send(from, to net.Addr, b []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pair := [2]string{from.String(), to.String()}
	if pair[0] > pair[1] {
		pair[0], pair[1] = pair[1], pair[0]
	}
	if _, known := h.silent[pair]; !known {
		h.silent[pair] = false
	}
	c := h.ports[to.String()]
	if c == nil || h.silent[pair] || h.down[to.String()] {
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

	mu   sync.Mutex
	err  error
	wake chan struct{} // closed when err is set
}

func (c *hubConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		c.mu.Lock()
		err, wake := c.err, c.wake
		c.mu.Unlock()
		if err != nil {
			return 0, nil, err
		}
		select {
		case p := <-c.packets:
			return copy(b, p.data), p.from, nil
		case <-wake:
		}
	}
}

func (c *hubConn) WriteTo(b []byte, to net.Addr) (int, error) {
	c.hub.send(c.addr, to, b)
	return len(b), nil
}

func (c *hubConn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		close(c.wake)
	}
	c.err = err
}

func (c *hubConn) Close() error {
	c.hub.mu.Lock()
	delete(c.hub.ports, c.addr.String())
	c.hub.mu.Unlock()
	c.fail(net.ErrClosed)
	return nil
}

func (c *hubConn) LocalAddr() net.Addr { return c.addr }

// SetReadDeadline knows the two uses of quic-go: at once, and never.
func (c *hubConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() {
		c.fail(os.ErrDeadlineExceeded)
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == os.ErrDeadlineExceeded {
		c.err = nil
		c.wake = make(chan struct{})
	}
	return nil
}

func (c *hubConn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *hubConn) SetWriteDeadline(time.Time) error { return nil }

// authority issues certificates for tests.
type authority struct {
	ca  *keys.CA
	dir string
}

func newAuthority(t testing.TB) *authority {
	ca, err := keys.NewCA()
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{ca: ca, dir: t.TempDir()}
	if err := ca.WriteFiles(a.dir); err != nil {
		t.Fatal(err)
	}
	return a
}

func (a *authority) config(t testing.TB, id string) *tls.Config {
	pair, err := a.ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	if err := pair.WriteFiles(a.dir); err != nil {
		t.Fatal(err)
	}
	cfg, err := keys.Load(filepath.Join(a.dir, keys.CACertFile), filepath.Join(a.dir, id+".pem"), filepath.Join(a.dir, id+"-key.pem"))
	if err != nil {
		t.Fatal(err)
	}
	issued := time.Now() // virtual time lies before it
	cfg.Time = func() time.Time { return issued }
	return cfg
}

// node is one transport and what it was told.
type node struct {
	*Transport
	frames      chan string
	unreachable chan fleet.InstanceID
	refused     chan string
}

// newNode listens on conn. The authority may be another one than that of the peers.
func newNode(t testing.TB, tlsConfig *tls.Config, id string, conn net.PacketConn, open func() (net.PacketConn, error)) *node {
	n := &node{
		frames:      make(chan string, hubQueue),
		unreachable: make(chan fleet.InstanceID, hubQueue),
		refused:     make(chan string, hubQueue),
	}
	cfg := DefaultConfig()
	cfg.Self = fleet.InstanceID(id)
	cfg.Conn = conn
	cfg.OpenSocket = open
	cfg.TLS = tlsConfig
	cfg.Identify = func(cs tls.ConnectionState) (fleet.InstanceID, error) {
		peer, err := keys.PeerID(cs)
		return fleet.InstanceID(peer), err
	}
	cfg.OnFrame = func(from fleet.InstanceID, f wire.Frame) {
		n.frames <- fmt.Sprintf("%s: %s", from, label(f))
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

func label(f wire.Frame) string {
	m := f.Message.(wire.Redeem)
	return fmt.Sprintf("%s %d", m.Key, len(m.Request))
}
