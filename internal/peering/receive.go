package peering

import (
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

const (
	streamReadTimeout  = 10 * time.Second
	assemblyChunkBytes = 16 << 10
)

var errAssembly = errors.New("peering: no memory for a large frame")

// accept takes the connections that peers open.
func (t *Transport) accept() {
	for {
		c, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		id, err := t.cfg.Identify(c.ConnectionState().TLS)
		if err != nil {
			t.refuse(c, id, err)
			continue
		}
		if t.isBarred(id) {
			t.refuse(c, id, errBarred)
			continue
		}
		if t.open(c, id, t.home) {
			t.prefer(id, c)
		}
	}
}

func (t *Transport) refuse(c *quic.Conn, id fleet.InstanceID, err error) {
	t.counters.refused.Add(1)
	_ = c.CloseWithError(codeRefused, "")
	t.cfg.OnRefused(id, c.RemoteAddr(), err)
}

// open registers a connection and starts to read from it. The path ends with it.
func (t *Transport) open(c *quic.Conn, id fleet.InstanceID, via *path) bool {
	if !t.register(c, id, via) {
		_ = c.CloseWithError(codeRefused, "")
		return false
	}
	return true
}

func (t *Transport) register(c *quic.Conn, id fleet.InstanceID, via *path) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || len(t.conns) >= t.cfg.MaxConnections {
		return false
	}
	t.conns[c] = id
	t.wg.Go(func() { t.readDatagrams(c, id, via) })
	t.wg.Go(func() { t.readStreams(c, id) })
	return true
}

// release closes a path that carried one connection.
func (t *Transport) release(via *path) {
	if via != t.home {
		_ = via.close()
	}
}

func (t *Transport) forget(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// prefer makes c the connection on which this process sends to the peer.
func (t *Transport) prefer(id fleet.InstanceID, c *quic.Conn) {
	p := t.peerFor(id)
	if p == nil || p.current.Load() == c {
		return
	}
	select {
	case p.adopted <- c:
	default: // another connection is about to be adopted
	}
}

func (t *Transport) readDatagrams(c *quic.Conn, id fleet.InstanceID, via *path) {
	defer t.release(via)
	defer t.forget(c)
	for {
		b, err := c.ReceiveDatagram(t.ctx)
		if err != nil {
			return
		}
		if !t.receive(c, id, b) {
			return
		}
	}
}

func (t *Transport) readStreams(c *quic.Conn, id fleet.InstanceID) {
	for {
		s, err := c.AcceptUniStream(t.ctx)
		if err != nil {
			return
		}
		b, release, err := t.assemble(s)
		if err != nil {
			s.CancelRead(0)
			t.drop(DropAssemblyFailed)
			continue
		}
		ok := t.receive(c, id, b)
		release()
		if !ok {
			return
		}
	}
}

// assemble reads one large frame within the bound of all of them.
func (t *Transport) assemble(s *quic.ReceiveStream) ([]byte, func(), error) {
	_ = s.SetReadDeadline(time.Now().Add(streamReadTimeout))
	var b []byte
	release := func() { t.assembly.Release(int64(cap(b))) }
	for {
		if len(b) == cap(b) {
			grown, err := t.grow(b)
			if err != nil {
				release()
				return nil, nil, err
			}
			b = grown
		}
		n, err := s.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			return b, release, nil
		}
		if err != nil {
			release()
			return nil, nil, errors.Wrap(err, "peering: read stream")
		}
	}
}

// grow doubles a buffer that is full.
func (t *Transport) grow(b []byte) ([]byte, error) {
	size := min(max(2*cap(b), assemblyChunkBytes), wire.MaxFrameBytes)
	if size == cap(b) || !t.assembly.Reserve(int64(size-cap(b))) {
		return nil, errAssembly
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	return grown, nil
}

// receive decodes and hands on one frame. A peer that sends anything else is closed
// and barred for a while, so that garbage costs one handshake and one frame each time.
func (t *Transport) receive(c *quic.Conn, id fleet.InstanceID, b []byte) bool {
	f, err := wire.Decode(b)
	if err != nil {
		t.drop(DropMalformed)
		t.bar(id)
		t.counters.refused.Add(1)
		_ = c.CloseWithError(codeMalformed, "")
		t.cfg.OnRefused(id, c.RemoteAddr(), errors.WithMessage(ErrMalformed, err.Error()))
		return false
	}
	count(&t.counters.received, f.Message.Kind())
	// Two peers that dialled each other at the same time come to use one connection,
	// because one of them follows the other. The unused one ends when it is idle.
	if t.cfg.Self > id {
		t.prefer(id, c)
	}
	t.cfg.OnFrame(id, f)
	return true
}

func (t *Transport) bar(id fleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for other, until := range t.barred {
		if now.After(until) {
			delete(t.barred, other)
		}
	}
	t.barred[id] = now.Add(t.cfg.BanDuration)
}

func (t *Transport) isBarred(id fleet.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.barred[id])
}
