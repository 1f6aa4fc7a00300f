package callerconn

import (
	"bytes"
	"time"
)

const (
	// DefaultHeadBytes and DefaultHeadTimeout apply before limits are published.
	DefaultHeadBytes   = 64 << 10
	DefaultHeadTimeout = 10 * time.Second
	// headSlack is how much longer than the limit what arrives of a head may be: the published limit does not count the method, the
	// host and spaces. A head whose fields are over the limit is refused by package ingress.
	headSlack = 4 << 10
	// unusedTimeout limits the wait for the first byte on a new connection.
	unusedTimeout = 10 * time.Second

	// Bounds on the memory of a head, from what net/http allocates. A line of up to 64 KiB is held in a buffer that doubles, beside
	// the strings cut from it. A field takes a slot of 40 bytes in a map that is at least half full and doubles, two strings, and the
	// same again in the copy for the endpoint.
	costPerHeadByte  = 3
	costPerHeadField = 512

	// keptBodyBytes is how much of a complete body stays charged until the answer; beyond it, package bytebudget reserves.
	keptBodyBytes = 64 << 10
	// bodySlack is how much more than the limit on a body is charged, for what readers hold of it. The framing of small chunks is several
	// times as long as the body, and is not kept.
	bodySlack = 64 << 10
)

// incoming is what has arrived of a request. net/http reads from a connection only when it has used up what it has read, so all
// bytes before a read of a head belong to that unfinished head.
type incoming struct {
	head      bool      // the head is not complete
	body      bool      // the head is, the body is being read
	bodyEnded bool      // the server has removed the read deadline after the head, and after BeginBody if there is a body
	watch     bool      // the read is that of one byte by which net/http notices, after the body, that the caller leaves
	early     bool      // the first byte of the next request was read while this one ran
	refused   Reason    // why the rest is not read, 0 if it is
	bytes     int       // of the head
	began     time.Time // arrival of the first byte of the head, zero before it
	progress  time.Time // the last arrival
	maxCharge int64     // for the body, 0: no bound

	headCharge, bodyCharge, answerCharge int64 // of the memory budget
}

// incomplete reports whether a request is missing or incomplete on a connection in a phase.
func (i *incoming) incomplete(p Phase) bool { return i.body && !i.watch || i.head && p != Waiting }

func (i *incoming) begin(now time.Time) {
	if i.began.IsZero() {
		i.began = now
	}
}

// count counts bytes of a head or a body that were read at a time, and returns their cost.
func (i *incoming) count(read []byte, now time.Time) int64 {
	i.progress = now
	if !i.head {
		return i.bodyCost(int64(len(read)))
	}
	i.begin(now)
	i.bytes += len(read)
	return int64(costPerHeadByte*len(read) + costPerHeadField*bytes.Count(read[:headEnd(read)], newline))
}

// headEnd returns the length of the part of read that may belong to a head: what follows an empty line belongs to a body.
func headEnd(read []byte) int {
	if i := bytes.Index(read, emptyLine); i >= 0 {
		return i + len(emptyLine)
	}
	return len(read)
}

// emptyLine ends a head, together with the end of the line before it.
var emptyLine = []byte("\r\n\r\n")

// bodyCost returns the cost of n more bytes of a body.
func (i *incoming) bodyCost(n int64) int64 {
	if i.maxCharge > 0 {
		return min(n, max(i.maxCharge-i.bodyCharge, 0))
	}
	return n
}

// charge charges a cost unless the budget has no room for it. c.mu must be held.
func (c *Conn) charge(cost int64) bool {
	b := c.listener.memory
	switch {
	case b == nil || c.closing:
		return true
	case !b.reserve(cost):
		return false
	case c.incoming.head:
		c.incoming.headCharge += cost
	default:
		c.incoming.bodyCharge += cost
	}
	return true
}

// makeRoom charges a cost for which the budget had no room. It returns false if it still has none after other connections were asked
// to close.
func (c *Conn) makeRoom(cost int64) bool {
	for range maxEvictions {
		evicted := c.listener.evict(Memory)
		if evicted {
			c.listener.awaitRoom()
		}
		if c.chargeLater(cost) {
			return true
		}
		if !evicted {
			return false
		}
	}
	return false
}

func (c *Conn) chargeLater(cost int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.charge(cost)
}

var newline = []byte{'\n'}

// readDeadline returns the deadline for the next read.
func (c *Conn) readDeadline() time.Time {
	d := c.limitDeadline()
	if d.IsZero() || !c.deadline.IsZero() && c.deadline.Before(d) {
		return c.deadline
	}
	return d
}

// limitDeadline returns when the head must be complete, or its first byte have arrived on a new connection. It is zero while
// neither applies.
func (c *Conn) limitDeadline() time.Time {
	switch {
	case !c.incoming.head:
		return time.Time{}
	case !c.incoming.began.IsZero():
		return c.incoming.began.Add(c.listener.limits.headTimeout())
	case c.phase == Fresh:
		return c.accepted.Add(unusedTimeout)
	default:
		return time.Time{}
	}
}

func (c *Conn) applyDeadline() error {
	c.applied = c.readDeadline()
	return c.TCPConn.SetReadDeadline(c.applied)
}

// lateness returns the reason for which the request must be refused, or 0 if its time is not over.
func (c *Conn) lateness(now time.Time) Reason {
	d := c.limitDeadline()
	switch {
	case d.IsZero() || now.Before(d):
		return 0
	case c.incoming.began.IsZero():
		return Unused
	default:
		return HeadLate
	}
}
