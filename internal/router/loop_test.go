package router

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// recordingCore is a core that records its steps and returns one action for each.
type recordingCore struct {
	steps []string
	last  time.Time
}

func (s *recordingCore) Step(now time.Time, ev core.Event) []core.Action {
	if now.Before(s.last) {
		panic("time went backwards")
	}
	s.last = now
	s.steps = append(s.steps, fmt.Sprintf("%T", ev))
	return []core.Action{core.SetReady{Ready: true}}
}

type actionCount int

func (n *actionCount) Execute(core.Action) { *n++ }

// TestLoopStepsOneAtATime posts more events than the queue holds from several goroutines. Each event must be stepped
// exactly once, and post and runOnLoop must not block after the loop has ended.
func TestLoopStepsOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &recordingCore{}
		var done actionCount
		l := newLoop(c, &done, time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		go l.run(ctx)
		const posts = 3 * maxQueuedEvents
		for range 3 {
			go func() {
				for range maxQueuedEvents {
					l.post(core.Stop{})
				}
			}()
		}
		time.Sleep(2500 * time.Millisecond)
		synctest.Wait()
		ticks := 0
		var actions int
		if err := l.runOnLoop(context.Background(), func() {
			actions = int(done)
			for _, s := range c.steps {
				if s == "core.Tick" {
					ticks++
				}
			}
		}); err != nil {
			t.Fatal(err)
		}
		if actions != posts+2 || ticks != 2 {
			t.Errorf("%d actions, %d ticks", actions, ticks)
		}
		cancel()
		synctest.Wait()
		for range 2 * maxQueuedEvents {
			l.post(core.Stop{}) // must not block
		}
		if err := l.runOnLoop(context.Background(), func() {}); !errors.Is(err, errLoopEnded) {
			t.Errorf("runOnLoop after the end: %v", err)
		}
	})
}

// fakeLoadReader fails for the address "silent".
type fakeLoadReader struct{}

func (fakeLoadReader) PollLoad(_ context.Context, id fleet.EndpointID, addr string) (fleet.LoadReport, error) {
	if addr == "silent" {
		return fleet.LoadReport{}, errors.New("silent")
	}
	return fleet.LoadReport{Endpoint: id}, nil
}

// TestPollers checks that polling starts, follows a changed address and stops.
func TestPollers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counts := map[string]int{}
		events := make(chan core.Event, 1000)
		ctx, cancel := context.WithCancel(context.Background())
		p := newPollers(ctx, fakeLoadReader{}, func(ev core.Event) { events <- ev }, time.Second)
		count := func(phase string) {
			time.Sleep(10 * time.Second)
			synctest.Wait()
			for len(events) > 0 {
				counts[fmt.Sprintf("%s %T", phase, <-events)]++
			}
		}
		p.apply(core.PollEndpoint{Endpoint: "e", Addr: "up", Enable: true})
		count("up")
		p.apply(core.PollEndpoint{Endpoint: "e", Addr: "silent", Enable: true})
		count("silent")
		p.apply(core.PollEndpoint{Endpoint: "e"})
		count("off")
		cancel()
		p.wait()
		p.apply(core.PollEndpoint{Endpoint: "e", Addr: "up", Enable: true})
		count("ended")
		for what, n := range counts {
			if n < 10 || n > 14 {
				t.Errorf("%s: %d in 10 s", what, n)
			}
		}
		if counts["up core.EndpointReport"] == 0 || counts["silent core.EndpointPollFailed"] == 0 || len(counts) != 2 {
			t.Errorf("got %v", counts)
		}
	})
}

func TestParseStatm(t *testing.T) {
	for in, want := range map[string]uint64{"100 7 3 1 0 2 0": 7 * 4096, "100": 0, "": 0, "a b c": 0} {
		got, err := parseStatm(in, 4096)
		if got != want || (err == nil) != (want > 0) {
			t.Errorf("%q: %d, %v", in, got, err)
		}
	}
}
