package platform

import (
	"context"
	"sync"
)

// gate is open while watching is enabled. The zero value is closed.
type gate struct {
	mu     sync.Mutex
	open   bool
	change chan struct{} // closed at the next change of state
}

func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == open {
		return
	}
	g.open = open
	if g.change != nil {
		close(g.change)
		g.change = nil
	}
}

func (g *gate) state() (open bool, change <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.change == nil {
		g.change = make(chan struct{})
	}
	return g.open, g.change
}

// wait blocks until the gate is open or ctx ends.
func (g *gate) wait(ctx context.Context) error {
	for {
		open, change := g.state()
		if open {
			return ctx.Err()
		}
		select {
		case <-change:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// whileOpen returns a context that is cancelled when the gate closes.
func (g *gate) whileOpen(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	open, change := g.state()
	if !open {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-change:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
