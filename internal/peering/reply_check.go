package peering

import (
	"time"

	"github.com/quic-go/quic-go"
)

// livenessCheck detects that no packet was received on a connection after a send. QUIC acknowledges
// datagrams and probes for missing acknowledgements, so that packets arrive on a working path even
// if the peer sends no frames.
type livenessCheck struct {
	conn     *quic.Conn // nil: no check is running
	received uint64     // packets received before the send
	timer    *time.Timer
}

// arm starts a check of c unless one is running.
func (r *livenessCheck) arm(c *quic.Conn, after time.Duration) {
	if r.conn == c {
		return
	}
	r.disarm()
	r.conn = c
	r.received = c.ConnectionStats().PacketsReceived
	r.timer = time.NewTimer(after)
}

func (r *livenessCheck) disarm() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.conn = nil
	r.timer = nil
}

// timeout returns a channel that is ready when the timeout of the check has passed, nil if no check
// is running.
func (r *livenessCheck) timeout() <-chan time.Time {
	if r.timer == nil {
		return nil
	}
	return r.timer.C
}

func (r *livenessCheck) packetReceived() bool {
	return r.conn.ConnectionStats().PacketsReceived > r.received
}
