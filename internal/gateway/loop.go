package gateway

import (
	"context"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
)

// loop owns the control state. All decisions are made on its goroutine.
type loop struct {
	state *control.State
	jobs  chan job
	done  chan struct{} // closed when the loop has ended
}

type job struct {
	run      func(*control.State, boottime.Instant)
	finished chan struct{}
}

func newLoop(s *control.State) *loop {
	return &loop{state: s, jobs: make(chan job), done: make(chan struct{})}
}

// Do implements ingress.Control. It does nothing after the loop has ended.
func (l *loop) Do(f func(*control.State, boottime.Instant)) {
	j := job{run: f, finished: make(chan struct{})}
	select {
	case l.jobs <- j:
		<-j.finished
	case <-l.done:
	}
}

func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case j := <-l.jobs:
			j.run(l.state, boottime.Now())
			close(j.finished)
		case <-ctx.Done():
			return
		}
	}
}
