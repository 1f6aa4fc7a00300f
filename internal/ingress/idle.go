package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleMargin is added to the published limit, so that a caller that reuses a connection
// just in time does not meet its end.
const idleMargin = time.Second

// idleConns knows which connections of callers wait for their next request. The limit on
// that wait is published and may change at any time, which net/http has no way for.
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

// closeOlder closes the connections that have been idle for longer than a limit and
// returns how many.
func (i *idleConns) closeOlder(limit time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for c, since := range i.idleSince {
		if time.Since(since) <= limit+idleMargin {
			continue
		}
		delete(i.idleSince, c)
		_ = c.Close() // the caller may have closed it already
		n++
	}
	return n
}
