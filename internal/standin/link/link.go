// Package link is a TCP and UDP proxy with fault injection. It can break connections, delay data,
// and blackhole the open connections: drop all their data without closing them.
package link

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const readBufferBytes = 64 << 10

// Faults are the injected faults.
type Faults struct {
	Cut    bool          `json:"cut"`    // close TCP connections, new ones right after the accept; drop UDP packets
	Silent bool          `json:"silent"` // blackhole the open sessions, also after the fault ends; sessions opened later work
	Delay  time.Duration `json:"delay"`  // in each direction; nanoseconds in JSON
}

// Link is a proxy that relays TCP connections or UDP packets to one target.
type Link struct {
	listener io.Closer
	addr     net.Addr
	target   string
	wg       sync.WaitGroup

	mu       sync.Mutex
	faults   Faults
	sessions map[*session]bool
}

// session is one TCP connection or one UDP client.
type session struct {
	link       *Link
	tcp        bool
	upstream   net.Conn    // to the target
	downstream io.Writer   // to the client
	silent     atomic.Bool // blackholed
	writing    sync.Mutex  // held while data is written to the target
	reset      atomic.Bool // the target has reset its connection
}

// Start starts a proxy that listens on addr of a network, "tcp" or "udp", and relays to target.
func Start(network, addr, target string) (*Link, error) {
	l := &Link{target: target, sessions: map[*session]bool{}}
	if network == "udp" {
		pc, err := net.ListenPacket(network, addr)
		if err != nil {
			return nil, errors.Wrap(err, "link: listen")
		}
		l.listener, l.addr = pc, pc.LocalAddr()
		l.wg.Go(func() { l.serveUDP(pc) })
		return l, nil
	}
	ln, err := net.Listen(network, addr)
	if err != nil {
		return nil, errors.Wrap(err, "link: listen")
	}
	l.listener, l.addr = ln, ln.Addr()
	l.wg.Go(func() { l.serveTCP(ln) })
	return l, nil
}

// Addr returns the listener's IP:port.
func (l *Link) Addr() string { return l.addr.String() }

// Close stops the proxy and closes all sessions.
func (l *Link) Close() error {
	err := l.listener.Close()
	l.wg.Wait()
	return err
}

// Inject replaces the injected faults.
func (l *Link) Inject(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for s := range l.sessions {
		s.silent.Store(f.Silent || s.silent.Load())
		if f.Cut && s.tcp {
			s.close()
		}
	}
}

func (l *Link) serveTCP(ln net.Listener) {
	defer l.closeSessions()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		s, err := l.openSession("tcp", conn)
		if err != nil || l.currentFaults().Cut {
			_ = conn.Close()
			continue
		}
		l.wg.Go(func() { s.relay(conn, s.upstream) })
		l.wg.Go(func() { s.relay(s.upstream, conn) })
	}
}

// udpClient is an io.Writer to one client of a UDP proxy.
type udpClient struct {
	pc   net.PacketConn
	addr net.Addr
}

func (c udpClient) Write(b []byte) (int, error) { return c.pc.WriteTo(b, c.addr) }

func (l *Link) serveUDP(pc net.PacketConn) {
	defer l.closeSessions()
	clients := map[string]*session{}
	for {
		buf := make([]byte, readBufferBytes)
		n, from, err := pc.ReadFrom(buf)
		if err != nil {
			return
		}
		s := clients[from.String()]
		if s == nil {
			if s, err = l.openSession("udp", udpClient{pc, from}); err != nil {
				continue
			}
			clients[from.String()] = s
			l.wg.Go(func() { s.relay(s.upstream, s.downstream) })
		}
		s.forward(buf[:n], s.upstream)
	}
}

func (l *Link) openSession(network string, downstream io.Writer) (*session, error) {
	upstream, err := net.Dial(network, l.target)
	if err != nil {
		return nil, errors.Wrap(err, "link: dial")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := &session{link: l, tcp: network == "tcp", upstream: upstream, downstream: downstream}
	l.sessions[s] = true
	return s, nil
}

func (l *Link) currentFaults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *Link) closeSessions() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range l.sessions {
		s.close()
		delete(l.sessions, s)
	}
}

func (s *session) close() {
	_ = s.upstream.Close()
	if c, ok := s.downstream.(io.Closer); ok {
		_ = c.Close()
	}
}

// passResetOn has the connection to the client reset if the target has reset its own, given the error with which reading from the target
// has ended: a write in progress may have got the reset in its place.
func (s *session) passResetOn(err error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	if tcp, ok := s.downstream.(*net.TCPConn); ok && (s.reset.Load() || errors.Is(err, syscall.ECONNRESET)) {
		_ = tcp.SetLinger(0) // fails only if it is closed
	}
}

// write writes data to one end of the session.
func (s *session) write(data []byte, to io.Writer) {
	if to != s.upstream {
		_, _ = to.Write(data)
		return
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	if _, err := to.Write(data); errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		s.reset.Store(true)
	}
}

// relay copies one direction of the session until its source is closed.
func (s *session) relay(from io.Reader, to io.Writer) {
	for {
		buf := make([]byte, readBufferBytes)
		n, err := from.Read(buf)
		if n > 0 {
			s.forward(buf[:n], to)
		}
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			continue
		}
		if s.silent.Load() { // a blackholed session stays open at its other end
			return
		}
		if from == s.upstream {
			s.passResetOn(err)
		}
		s.close()
		return
	}
}

// forward writes data after the injected delay, or drops it if the session is blackholed or the link is cut. TCP data
// stay in order; UDP packets may be reordered.
func (s *session) forward(data []byte, to io.Writer) {
	write := func() {
		if !s.silent.Load() && !s.link.currentFaults().Cut {
			s.write(data, to)
		}
	}
	delay := s.link.currentFaults().Delay
	if s.tcp {
		time.Sleep(delay)
		write()
		return
	}
	time.AfterFunc(delay, write)
}
