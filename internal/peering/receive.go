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
	streamReadTimeout       = 10 * time.Second
	initialFrameBufferBytes = 16 << 10
)

var errFrameBufferLimit = errors.New("peering: buffer limit for large frames exceeded")

// acceptConns accepts connections of peers until the transport is closed.
func (t *Transport) acceptConns() {
	for {
		c, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		id, err := t.cfg.Identify(c.ConnectionState().TLS)
		if err != nil {
			t.refuseConn(c, id, err)
			continue
		}
		if t.isBanned(id) {
			t.refuseConn(c, id, errBanned)
			continue
		}
		if t.addConn(c, id, t.listenSocket) {
			t.requestAdoption(id, c)
		}
	}
}

func (t *Transport) refuseConn(c *quic.Conn, id fleet.InstanceID, err error) {
	t.counters.refused.Add(1)
	_ = c.CloseWithError(codeRefused, "")
	t.cfg.OnRefused(id, c.RemoteAddr(), err)
}

// addConn registers a connection and starts to read from it, or closes it and returns false. The
// socket is closed with the connection unless it is the listening one.
func (t *Transport) addConn(c *quic.Conn, id fleet.InstanceID, via *udpSocket) bool {
	if !t.registerConn(c, id, via) {
		_ = c.CloseWithError(codeRefused, "")
		return false
	}
	return true
}

func (t *Transport) registerConn(c *quic.Conn, id fleet.InstanceID, via *udpSocket) bool {
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

// releaseSocket closes a socket that was opened for one connection.
func (t *Transport) releaseSocket(via *udpSocket) {
	if via != t.listenSocket {
		_ = via.close()
	}
}

func (t *Transport) removeConn(c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// requestAdoption asks the peer's goroutine to make c the current connection.
func (t *Transport) requestAdoption(id fleet.InstanceID, c *quic.Conn) {
	p := t.peerFor(id)
	if p == nil || p.current.Load() == c {
		return
	}
	select {
	case p.adoptRequests <- c:
	default: // another request is pending
	}
}

func (t *Transport) readDatagrams(c *quic.Conn, id fleet.InstanceID, via *udpSocket) {
	defer t.releaseSocket(via)
	defer t.removeConn(c)
	for {
		b, err := c.ReceiveDatagram(t.ctx)
		if err != nil {
			return
		}
		if !t.handleFrame(c, id, b) {
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
		b, release, err := t.readLargeFrame(s)
		if err != nil {
			s.CancelRead(0)
			t.drop(DropAssemblyFailed)
			continue
		}
		ok := t.handleFrame(c, id, b)
		release()
		if !ok {
			return
		}
	}
}

// readLargeFrame reads one large frame. The buffers of all large frames together are bounded by
// MaxFrameBufferBytes.
func (t *Transport) readLargeFrame(s *quic.ReceiveStream) ([]byte, func(), error) {
	_ = s.SetReadDeadline(time.Now().Add(streamReadTimeout))
	var b []byte
	release := func() { t.frameBuffers.Release(int64(cap(b))) }
	for {
		if len(b) == cap(b) {
			grown, err := t.growBuffer(b)
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

// growBuffer returns a copy of a full buffer with twice the capacity, or an error if a limit would be
// exceeded.
func (t *Transport) growBuffer(b []byte) ([]byte, error) {
	size := min(max(2*cap(b), initialFrameBufferBytes), wire.MaxFrameBytes)
	if size == cap(b) || !t.frameBuffers.Reserve(int64(size-cap(b))) {
		return nil, errFrameBufferLimit
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	return grown, nil
}

// handleFrame decodes a frame and passes it to OnFrame. After a malformed frame the connection is
// closed and the peer is banned for BanDuration, so that a faulty peer costs one handshake and one
// frame per ban.
func (t *Transport) handleFrame(c *quic.Conn, id fleet.InstanceID, b []byte) bool {
	f, err := wire.Decode(b)
	if err != nil {
		t.drop(DropMalformed)
		t.ban(id)
		t.counters.refused.Add(1)
		_ = c.CloseWithError(codeMalformed, "")
		t.cfg.OnRefused(id, c.RemoteAddr(), errors.WithMessage(ErrMalformed, err.Error()))
		return false
	}
	countFrame(&t.counters.received, f.Message.Kind())
	// If two peers dial each other simultaneously, the peer with the higher ID switches to the
	// connection on which its peer sends. The unused connection is closed by its idle timeout.
	if t.cfg.Self > id {
		t.requestAdoption(id, c)
	}
	t.cfg.OnFrame(id, f)
	return true
}

func (t *Transport) ban(id fleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for other, until := range t.bannedUntil {
		if now.After(until) {
			delete(t.bannedUntil, other)
		}
	}
	t.bannedUntil[id] = now.Add(t.cfg.BanDuration)
}

func (t *Transport) isBanned(id fleet.InstanceID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.bannedUntil[id])
}
