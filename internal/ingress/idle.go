package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleMargin is added to the published idle timeout. Without it, a connection could be closed
// while a caller sends a request just before the timeout.
const idleMargin = time.Second

// idleConns tracks the idle keep-alive connections of callers. The published idle timeout can
// change at any time, while http.Server.IdleTimeout is fixed once the server runs.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// track implements http.Server.ConnState.
func (i *idleConns) track(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s != http.StateIdle {
		delete(i.idleSince, c)
		return
	}
	if i.idleSince == nil {
		i.idleSince = map[net.Conn]time.Time{}
	}
	i.idleSince[c] = time.Now()
}

// closeOlder closes the connections that have been idle for longer than limit plus idleMargin
// and returns their number.
func (i *idleConns) closeOlder(limit time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for c, since := range i.idleSince {
		if time.Since(since) <= limit+idleMargin {
			continue
		}
		delete(i.idleSince, c)
		_ = c.Close() // fails only if the connection is closed already
		n++
	}
	return n
}
