package soak

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Callers keep within these fractions of an idle timeout.
const (
	usableIdleNumerator   = 4
	usableIdleDenominator = 5
)

// pool holds the kept connections of one caller; it is used by one goroutine. Like the platform's clients, it opens no new
// connection to a gateway that the load balancer has taken out of rotation, but uses open ones until they end.
type pool struct {
	run  *run
	idle map[*gateway][]*clientConn
}

func newPool(r *run) *pool { return &pool{run: r, idle: map[*gateway][]*clientConn{}} }

var errOutOfRotation = errors.New("soak: the load balancer sends no new connections to the gateway")

// get returns a connection to a gateway: the one used last, or a new one.
func (p *pool) get(ctx context.Context, g *gateway) (*clientConn, error) {
	for len(p.idle[g]) > 0 {
		last := len(p.idle[g]) - 1
		c := p.idle[g][last]
		p.idle[g] = p.idle[g][:last]
		if p.usable(c) {
			return c, nil
		}
		c.close()
	}
	if !g.inRotation() {
		return nil, errOutOfRotation
	}
	return dial(ctx, g)
}

// usable reports whether a caller may send a request on a kept connection.
func (p *pool) usable(c *clientConn) bool {
	limit := p.run.operator.knownIdleLimit(c)
	if limit > 0 && time.Since(c.idleSince) > limit*usableIdleNumerator/usableIdleDenominator {
		return false
	}
	return !closedByPeer(c.tcp)
}

func (p *pool) put(c *clientConn) {
	if !c.announced {
		c.idleLimit = p.run.operator.idleTimeoutAt(time.Now())
	}
	p.idle[c.gateway] = append(p.idle[c.gateway], c)
}

func (p *pool) close() {
	for _, conns := range p.idle {
		for _, c := range conns {
			c.close()
		}
	}
}
