package gateway

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// tickInterval is the time between two ticks of the control state. It is a fraction of the
// shortest timeout in the state.
const tickInterval = 40 * time.Millisecond

// loop owns the control state. The state is accessed only on the goroutine that executes run.
type loop struct {
	state   *control.State
	execute func(control.Action) // must not block
	jobs    chan job
	done    chan struct{} // closed when the loop has ended
}

type job struct {
	fn       func(*control.State, boottime.Instant)
	finished chan struct{}
}

func newLoop(s *control.State, execute func(control.Action)) *loop {
	return &loop{state: s, execute: execute, jobs: make(chan job), done: make(chan struct{})}
}

// Do implements ingress.Control. After the loop has ended, it returns without running f.
func (l *loop) Do(f func(*control.State, boottime.Instant)) {
	next := job{fn: f, finished: make(chan struct{})}
	select {
	case l.jobs <- next:
		<-next.finished
	case <-l.done:
	}
}

func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case next := <-l.jobs:
			next.fn(l.state, boottime.Now())
			close(next.finished)
		case <-ticker.C:
			l.state.Tick(boottime.Now())
		case <-ctx.Done():
			return
		}
		for _, a := range l.state.Drain() {
			l.execute(a)
		}
	}
}
