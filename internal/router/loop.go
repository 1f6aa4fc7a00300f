package router

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
)

const maxQueuedEvents = 4096

// errLoopEnded is returned by runOnLoop after the loop has ended.
var errLoopEnded = errors.New("router: the process is stopping")

// stateMachine is the core's interface to the loop.
type stateMachine interface {
	Step(now time.Time, ev core.Event) []core.Action
}

// executor executes actions. It must not block.
type executor interface {
	Execute(a core.Action)
}

// loop is the event loop, whose goroutine owns the core.
type loop struct {
	core         stateMachine
	executor     executor
	tickInterval time.Duration
	events       chan core.Event
	calls        chan func()   // functions passed to runOnLoop
	done         chan struct{} // closed when the loop has ended
}

func newLoop(c stateMachine, x executor, tickInterval time.Duration) *loop {
	return &loop{
		core:         c,
		executor:     x,
		tickInterval: tickInterval,
		events:       make(chan core.Event, maxQueuedEvents),
		calls:        make(chan func()),
		done:         make(chan struct{}),
	}
}

// post queues an event for the core. It blocks while the queue is full, and drops the
// event if the loop has ended.
func (l *loop) post(ev core.Event) {
	select {
	case l.events <- ev:
	case <-l.done:
	}
}

// runOnLoop runs f on the loop's goroutine, between two steps, and waits until f returns.
func (l *loop) runOnLoop(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	g := func() {
		defer close(ran)
		f()
	}
	select {
	case l.calls <- g:
	case <-l.done:
		return errLoopEnded
	case <-ctx.Done():
		return ctx.Err()
	}
	<-ran
	return nil
}

// run steps the core with queued events and periodic ticks until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	t := time.NewTicker(l.tickInterval)
	defer t.Stop()
	for {
		select {
		case ev := <-l.events:
			l.step(ev)
		case <-t.C:
			l.step(core.Tick{})
		case f := <-l.calls:
			f()
		case <-ctx.Done():
			return
		}
	}
}

func (l *loop) step(ev core.Event) {
	for _, a := range l.core.Step(time.Now(), ev) {
		l.executor.Execute(a)
	}
}
