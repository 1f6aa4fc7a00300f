package membership

import (
	"fmt"
	"testing"
	"time"
)

func TestDeadPeerIsFound(t *testing.T) {
	for _, tc := range []struct {
		n       int
		traffic bool // requests to the failed peer time out
		within  time.Duration
	}{{2, false, 3 * time.Second}, {9, false, 3 * time.Second}, {27, false, 5 * time.Second}, {82, false, 10 * time.Second},
		{9, true, 2 * time.Second}, {82, true, 6 * time.Second}} {
		t.Run(fmt.Sprintf("%d instances, traffic %v", tc.n, tc.traffic), func(t *testing.T) {
			net := newTestNetwork(1, tc.n)
			net.run(20 * time.Second)
			if net.suspicions() != 0 {
				t.Fatal("suspicions without a fault")
			}
			dead := net.processes[0]
			dead.down = true
			ticks := 0
			took, ok := net.until(tc.within, func() bool {
				ticks++
				for _, p := range net.processes[1:] {
					if tc.traffic && ticks%6 == 0 {
						p.st.OnTimeout(net.now, dead.id)
					}
				}
				return net.converged()
			})
			if !ok {
				t.Errorf("not suspected by all after %v", took)
			}
			t.Logf("suspected by all after %v", took)
			net.restart(dead)
			if took, ok := net.until(net.processes[1].st.Period()+time.Second, net.converged); !ok {
				t.Errorf("restart not detected by all after %v", took)
			}
		})
	}
}

// TestHeartbeatRate checks that the heartbeats per second of a process do not grow with the size of
// the data centre.
func TestHeartbeatRate(t *testing.T) {
	for _, n := range []int{9, 27, 82} {
		net := newTestNetwork(1, n)
		net.run(90 * time.Second)
		rate := float64(net.processes[0].heartbeats) / 90
		t.Logf("%d instances: %.1f heartbeats a second", n, rate)
		if rate > 18.5 {
			t.Errorf("%d instances: %.1f heartbeats a second", n, rate)
		}
	}
}

// TestLossAlone checks that message loss alone leads to few suspicions, which end without
// intervention.
func TestLossAlone(t *testing.T) {
	for _, n := range []int{9, 82} {
		net := newTestNetwork(1, n)
		net.loss = 0.1
		pairs, seconds, bad := n*(n-1), 0, 0
		for range 120 {
			net.run(time.Second)
			seconds += pairs
			bad += net.suspicions()
		}
		t.Logf("%d instances: %d of %d pair seconds suspected", n, bad, seconds)
		if bad*10000 > seconds {
			t.Errorf("%d instances: %d of %d pair seconds suspected", n, bad, seconds)
		}
		net.loss = 0
		if took, ok := net.until(2*DefaultHoldDownMax, net.converged); !ok {
			t.Errorf("no agreement after %v", took)
		}
	}
}

// TestPausedProcess checks that a process that did not run for a while suspects no instance
// after it resumes, whether or not the pause is reported to it.
func TestPausedProcess(t *testing.T) {
	for _, notified := range []bool{true, false} {
		net := newTestNetwork(1, 9)
		net.run(10 * time.Second)
		p := net.processes[0]
		for range 3 { // requests are in flight when the process is paused
			p.st.OnTimeout(net.now, "r001")
		}
		p.paused = true
		net.run(20 * time.Second)
		p.paused = false
		if notified {
			p.st.OnPause(net.now, 20*time.Second)
			p.st.OnTimeout(net.now, "r001")
		}
		for range 40 {
			net.step()
			if s := p.st.Suspects(); len(s) > 0 {
				t.Fatalf("notified %v: suspects %v", notified, s)
			}
		}
		if took, ok := net.until(5*time.Second, net.converged); !ok {
			t.Errorf("notified %v: no agreement after %v", notified, took)
		}
	}
}

// TestFlappingPeerIsDamped checks that each suspicion of a flapping peer lasts longer, up to a
// bound, and that the flap count decays.
func TestFlappingPeerIsDamped(t *testing.T) {
	net := newTestNetwork(1, 3)
	net.run(5 * time.Second)
	p, flapper := net.processes[0], net.processes[1]
	var held []time.Duration
	for range 8 {
		flapper.paused = true
		if _, ok := net.until(10*time.Second, func() bool { return !p.st.Alive(flapper.id) }); !ok {
			t.Fatal("not suspected")
		}
		flapper.paused = false
		took, ok := net.until(time.Minute, func() bool { return p.st.Alive(flapper.id) })
		if !ok {
			t.Fatal("suspicion did not end")
		}
		held = append(held, took)
	}
	t.Logf("suspected for %v", held)
	if held[0] > time.Second || held[3] < 4*time.Second || held[7] > p.st.opts.HoldDownMax+time.Second {
		t.Errorf("suspected for %v", held)
	}
	net.run(10 * p.st.opts.FlapWindow)
	flapper.paused = true
	net.until(10*time.Second, func() bool { return !p.st.Alive(flapper.id) })
	flapper.paused = false
	if took, _ := net.until(time.Minute, func() bool { return p.st.Alive(flapper.id) }); took > time.Second {
		t.Errorf("suspected for %v although the flap count has decayed", took)
	}
}
