package peering

import (
	"time"

	"github.com/quic-go/quic-go"
)

// livenessCheck detects that no packet is received on a connection after a send. QUIC acknowledges
// datagrams and probes for missing acknowledgements, so packets arrive on a working network path even
// if the peer sends no frames.
type livenessCheck struct {
	conn     *quic.Conn // nil: no check is running
	received uint64     // packets received before the send
	timer    *time.Timer
}

// arm starts a check of c unless one is running.
func (l *livenessCheck) arm(c *quic.Conn, after time.Duration) {
	if l.conn == c {
		return
	}
	l.disarm()
	l.conn = c
	l.received = c.ConnectionStats().PacketsReceived
	l.timer = time.NewTimer(after)
}

func (l *livenessCheck) disarm() {
	if l.timer != nil {
		l.timer.Stop()
	}
	l.conn = nil
	l.timer = nil
}

// timeout returns a channel that receives when the check times out, or nil if no check is running.
func (l *livenessCheck) timeout() <-chan time.Time {
	if l.timer == nil {
		return nil
	}
	return l.timer.C
}

func (l *livenessCheck) packetReceived() bool {
	return l.conn.ConnectionStats().PacketsReceived > l.received
}
