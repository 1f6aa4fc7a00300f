package gateway

import (
	"context"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/fault"
)

// tickInterval is the time between two ticks of the control state. It is a fraction of the
// shortest timeout in the state.
const tickInterval = 40 * time.Millisecond

// loop owns the control state. The state is accessed only on the goroutine that executes run.
//
// A panic of a job is passed on to the goroutine that requested the job, which knows the input that brought it about and
// drops it. A panic of a tick or an action is logged. Neither ends the loop: a process that started again would get the same
// input from the same caller, peer or store. What the job had changed before it panicked stays.
type loop struct {
	state   *control.State
	execute func(control.Action) // must not block
	jobs    chan job
	done    chan struct{} // closed when the loop has ended
}

type job struct {
	fn       func(*control.State, boottime.Instant)
	finished chan *fault.Panic // gets the panic of fn, or nil; has room for it
}

func newLoop(s *control.State, execute func(control.Action)) *loop {
	return &loop{state: s, execute: execute, jobs: make(chan job), done: make(chan struct{})}
}

// Do implements ingress.Control. After the loop has ended, it returns without running f.
func (l *loop) Do(f func(*control.State, boottime.Instant)) {
	next := job{fn: f, finished: make(chan *fault.Panic, 1)}
	select {
	case l.jobs <- next:
		if p := <-next.finished; p != nil {
			panic(p)
		}
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
			next.finished <- fault.Contain("job", func() { next.fn(l.state, boottime.Now()) })
		case <-ticker.C:
			fault.Contain("tick", func() { l.state.Tick(boottime.Now()) })
		case <-ctx.Done():
			return
		}
		for _, a := range l.state.Drain() {
			fault.Contain("action", func() { l.execute(a) })
		}
	}
}
