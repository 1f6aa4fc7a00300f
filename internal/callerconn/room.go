package callerconn

import (
	"net"
	"time"
)

const (
	// maxEvictions bounds how many connections are closed, one after the other, for a new connection or for bytes that have arrived.
	maxEvictions = 4
	// roomTimeout limits the wait for a connection that was asked to close. It closes as soon as its reader runs.
	roomTimeout = 20 * time.Millisecond
	// crowdedShare is the part of the connection budget, in quarters, beyond which connections are not kept between requests.
	crowdedShare = 3
)

// admit returns the connection of a caller, or nil if it must be refused: the budget is exhausted, and no connection may be closed.
func (l *Listener) admit(tcp *net.TCPConn) *Conn {
	for range maxEvictions {
		if c := l.add(tcp); c != nil {
			return c
		}
		if !l.evict(Connections) {
			return l.add(tcp)
		}
		l.awaitRoom()
	}
	return l.add(tcp)
}

// add returns the connection of a caller, or nil if the budget is exhausted.
func (l *Listener) add(tcp *net.TCPConn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns > 0 && l.open >= l.maxConns {
		return nil
	}
	l.open++
	now := time.Now()
	c := &Conn{TCPConn: tcp, listener: l, accepted: now, since: now, incoming: incoming{head: true, progress: now}}
	l.conns[c] = struct{}{}
	return c
}

// Crowded reports whether connections should not be kept between requests, since few are left of the budget.
func (l *Listener) Crowded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxConns > 0 && 4*l.open > crowdedShare*l.maxConns
}

// evict asks the connection to close that may be closed and whose last progress is oldest, and reports whether there is one. Those
// without a complete request go first, then those between two requests whose time is over.
func (l *Listener) evict(why Reason) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.room: // of an earlier close, which left no room
	default:
	}
	now := time.Now()
	for range maxEvictions {
		c, rank := l.oldest(why, now)
		if c == nil {
			return false
		}
		if c.askToEvict(why, rank, now) {
			return true
		}
	}
	return false
}

// oldest returns the connection to evict and its rank, or nil if none may be closed. l.mu must be held.
func (l *Listener) oldest(why Reason, now time.Time) (oldest *Conn, least evictionRank) {
	for c := range l.conns {
		if r, ok := c.evictionRank(why, now); ok && (oldest == nil || r.less(least)) {
			oldest, least = c, r
		}
	}
	return oldest, least
}

// evictionRank orders connections that may be closed.
type evictionRank struct {
	between  bool // between two requests
	progress time.Time
}

func (r evictionRank) less(o evictionRank) bool {
	if r.between != o.between {
		return o.between
	}
	return r.progress.Before(o.progress)
}

// evictionRank returns the rank of the connection, or false if it may not be closed.
func (c *Conn) evictionRank(why Reason, now time.Time) (evictionRank, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evictionRankLocked(why, now)
}

// evictionRankLocked is evictionRank with c.mu held.
func (c *Conn) evictionRankLocked(why Reason, now time.Time) (evictionRank, bool) {
	if !c.reading || c.closing || c.asked != 0 || Decide(c.state(), why, 0, now) != Close {
		return evictionRank{}, false
	}
	if why == Memory && c.incoming.headCharge+c.incoming.bodyCharge == 0 {
		return evictionRank{}, false // its end would free none
	}
	if c.phase == Waiting {
		return evictionRank{between: true, progress: c.since}, true
	}
	return evictionRank{progress: c.incoming.progress}, true
}

// askToEvict asks the connection to close unless its rank has changed, and reports whether it did.
func (c *Conn) askToEvict(why Reason, rank evictionRank, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.evictionRankLocked(why, now); !ok || r != rank {
		return false
	}
	return c.ask(why, 0)
}

// awaitRoom waits until a connection has been closed, but not beyond roomTimeout.
func (l *Listener) awaitRoom() {
	timer := time.NewTimer(roomTimeout)
	defer timer.Stop()
	select {
	case <-l.room:
	case <-timer.C:
	}
}

// beginLinger reports whether one more connection may linger.
func (l *Listener) beginLinger() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxConns > 0 && lingerShare*l.lingering >= l.maxConns {
		return false
	}
	l.lingering++
	return true
}

// released records that the descriptor of a connection was closed.
func (l *Listener) released(lingered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	if lingered {
		l.lingering--
	}
	select {
	case l.room <- struct{}{}:
	default:
	}
}
