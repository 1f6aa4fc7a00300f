package loadtest

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/ctxtime"
)

const (
	readinessInterval = 250 * time.Millisecond
	readinessTimeout  = 500 * time.Millisecond
)

// Balancer distributes requests round-robin over the routers whose readiness check succeeds, like the platform's load
// balancer.
type Balancer struct {
	client *http.Client

	mu    sync.Mutex
	addrs []string
	ready []bool
	next  int
}

// NewBalancer returns a balancer over the caller addresses of routers. Each is considered ready until its first check.
func NewBalancer(addrs []string) *Balancer {
	b := &Balancer{client: &http.Client{Timeout: readinessTimeout}, addrs: addrs, ready: make([]bool, len(addrs))}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// Run checks the readiness of the routers until ctx is done.
func (b *Balancer) Run(ctx context.Context) {
	defer b.client.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range b.addrs {
		wg.Go(func() {
			for ctx.Err() == nil {
				b.checkReady(ctx, i)
				ctxtime.Sleep(ctx, readinessInterval)
			}
		})
	}
	wg.Wait()
}

func (b *Balancer) checkReady(ctx context.Context, i int) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.addrs[i]+"/readyz", nil)
	if err != nil {
		return
	}
	resp, err := b.client.Do(req)
	if err == nil {
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = err == nil && resp.StatusCode == http.StatusOK
}

// pick returns the address of the next ready router or, if none is ready, the address that it returned last.
func (b *Balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.addrs {
		b.next = (b.next + 1) % len(b.addrs)
		if b.ready[b.next] {
			break
		}
	}
	return b.addrs[b.next]
}
