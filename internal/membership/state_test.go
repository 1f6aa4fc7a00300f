package membership

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

var t0 = time.Unix(1_800_000_000, 0)

func listOf(dc fleet.DataCentreID, ids ...fleet.InstanceID) []fleet.Instance {
	var in []fleet.Instance
	for _, id := range ids {
		in = append(in, fleet.Instance{ID: id, DataCentre: dc})
	}
	return in
}

// advanceSilently advances the clock by d without any message from other instances.
func advanceSilently(s *State, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(stepInterval)
		s.TakeDueHeartbeats(now)
	}
	return now
}

func TestAnswers(t *testing.T) {
	for _, tc := range []struct {
		name                string
		do                  func(s *State)
		alive, usable, gone bool
		inc                 fleet.Incarnation
	}{
		{"listed", func(*State) {}, true, true, false, 0},
		{"heard", func(s *State) { s.OnMessage(t0, "b", 5) }, true, true, false, 5},
		{"message of an earlier run", func(s *State) { s.OnMessage(t0, "b", 5); s.OnMessage(t0, "b", 4) }, true, true, false, 5},
		{"leaving", func(s *State) { s.OnMessage(t0, "b", 5); s.OnLeaving(t0, "b") }, true, false, false, 5},
		{"listed as leaving", func(s *State) { s.SetView(t0, view([]fleet.Instance{{ID: "b", DataCentre: "dc0", Leaving: true}})) }, true, false, false, 0},
		{"restarted after leaving", func(s *State) { s.OnMessage(t0, "b", 5); s.OnLeaving(t0, "b"); s.OnMessage(t0, "b", 6) }, true, true, false, 6},
		{"gone", func(s *State) { s.SetView(t0, view(nil)) }, false, false, true, 0},
		{"listed again within the retention", func(s *State) {
			s.OnMessage(t0, "b", 5)
			s.SetView(t0, view(nil))
			s.SetView(t0.Add(time.Second), view(listOf("dc0", "a", "b")))
		}, true, true, false, 5},
		{"listed again after the retention", func(s *State) {
			s.OnMessage(t0, "b", 5)
			s.SetView(t0, view(nil))
			s.SetView(t0.Add(unlistedRetention+time.Second), view(nil))
			s.SetView(t0.Add(unlistedRetention+time.Second), view(listOf("dc0", "a", "b")))
		}, true, true, false, 0},
		{"silent", func(s *State) { s.OnMessage(t0, "b", 5); advanceSilently(s, t0, 4*time.Second) }, false, false, false, 5},
		{"suspected, gone and listed again", func(s *State) {
			now := advanceSilently(s, t0, 4*time.Second)
			s.SetView(now, view(nil))
			s.SetView(now, view(listOf("dc0", "a", "b")))
			advanceSilently(s, now, time.Second)
		}, false, false, false, 0},
		{"one failure, then no answer to heartbeats", func(s *State) {
			s.OnTimeout(t0, "b")
			advanceSilently(s, t0, 1500*time.Millisecond)
		}, false, false, false, 0},
		{"failures before a short pause", func(s *State) {
			s.OnTimeout(t0, "b")
			s.OnTimeout(t0.Add(s.opts.MinSilence/2), "b")
			s.OnPause(t0.Add(s.opts.MinSilence), s.opts.MinSilence/2)
			s.OnTimeout(t0.Add(s.opts.MinSilence), "b")
		}, true, true, false, 0},
		{"too few heartbeats sent", func(s *State) {
			for i := range 4 {
				s.TakeDueHeartbeats(t0.Add(time.Duration(i) * 900 * time.Millisecond))
				s.peers["b"].failures = min(s.peers["b"].failures, 2)
			}
		}, true, true, false, 0},
		{"silent, suspicions of peers only", func(s *State) {
			for i := range 20 {
				s.OnPeerSuspicion(t0.Add(time.Duration(i)*time.Second), "b")
			}
		}, true, true, false, 0},
		{"failures at once after silence", func(s *State) {
			now := advanceSilently(s, t0, s.opts.MinSilence)
			for range 20 {
				s.OnTimeout(now, "b")
			}
		}, true, true, false, 0},
		{"failures right after a message", func(s *State) {
			for range 20 {
				s.OnTimeout(t0, "b")
			}
		}, true, true, false, 0},
		{"failures in silence", func(s *State) {
			for i := range suspectFailures {
				s.OnTimeout(t0.Add(time.Duration(i)*s.opts.MinSilence/2), "b")
			}
		}, false, false, false, 0},
		{"restarted after silence, flapping", func(s *State) {
			now := t0
			for i := range 4 {
				s.OnMessage(now, "b", 5)
				now = advanceSilently(s, now, time.Duration(8*i+4)*time.Second)
			}
			s.OnMessage(now, "b", 6)
		}, true, true, false, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New("a", "dc0", Options{})
			s.SetView(t0, view(listOf("dc0", "a", "b")))
			tc.do(s)
			got := []any{s.Alive("b"), s.Usable("b"), s.Unlisted("b"), s.Incarnation("b"), s.Alive("a")}
			if want := []any{tc.alive, tc.usable, tc.gone, tc.inc, true}; !reflect.DeepEqual(got, want) {
				t.Errorf("alive, usable, gone, incarnation, self alive: %v, want %v", got, want)
			}
		})
	}
}

func TestMessageOfEarlierIncarnationIsIgnored(t *testing.T) {
	s := New("a", "dc0", Options{})
	s.SetView(t0, view(listOf("dc0", "a", "b")))
	s.OnMessage(t0, "b", 5)
	now := advanceSilently(s, t0, 4*time.Second)
	if s.OnMessage(now, "b", 4) || s.Alive("b") {
		t.Error("a message of an earlier run was accepted")
	}
}

// TestPeerSuspicionStartsProbe checks that a suspicion by another instance has a silent peer probed at once,
// but not one from which a message has just arrived.
func TestPeerSuspicionStartsProbe(t *testing.T) {
	in := []fleet.InstanceID{"a"}
	for i := range 81 {
		in = append(in, fleet.InstanceID(fmt.Sprintf("b%03d", i)))
	}
	for _, tc := range []struct {
		quiet time.Duration
		rumor bool
		want  bool
	}{{time.Second, true, true}, {time.Second, false, false}, {100 * time.Millisecond, true, false}} {
		s := New("a", "dc0", Options{})
		s.SetView(t0, view(listOf("dc0", in...)))
		s.TakeDueHeartbeats(t0)
		s.TakeDueHeartbeats(t0.Add(600 * time.Millisecond))
		now := t0.Add(1200 * time.Millisecond)
		s.OnMessage(now.Add(-tc.quiet), "b000", 1)
		if tc.rumor {
			s.OnPeerSuspicion(now, "b000")
		}
		if got := len(s.TakeDueHeartbeats(now)) > 0; got != tc.want {
			t.Errorf("%+v: probed %v", tc, got)
		}
	}
}

// TestOtherDataCentre checks that an instance of another data centre, which gets no heartbeats,
// is suspected after failed requests only, and that each suspicion ends after a longer time.
func TestOtherDataCentre(t *testing.T) {
	s := New("a", "dc0", Options{})
	s.SetView(t0, view(append(listOf("dc0", "a"), listOf("dc1", "b")...)))
	now := advanceSilently(s, t0, time.Minute)
	if !s.Alive("b") {
		t.Fatal("suspected without a failure")
	}
	var last time.Duration
	for range 5 {
		for range suspectFailures {
			s.OnTimeout(now, "b")
			now = advanceSilently(s, now, s.opts.MinSilence/2)
		}
		if s.Alive("b") {
			t.Fatal("not suspected")
		}
		began := now
		for !s.Alive("b") && now.Sub(began) < time.Hour {
			now = advanceSilently(s, now, stepInterval)
		}
		d := now.Sub(began)
		if d < last || d > s.opts.HoldDownMax+stepInterval {
			t.Errorf("suspicion ended after %v, the previous one after %v", d, last)
		}
		last = d
	}
	if last < 2*s.opts.HoldDownBase {
		t.Errorf("last suspicion lasted %v", last)
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	w := newTestNetwork(1, 82)
	w.run(10 * time.Second)
	for _, p := range w.ps[1:] {
		p.down = true
	}
	w.run(20 * time.Second)
	s := w.ps[0].st
	if n := len(s.Suspects()); n != MaxSuspects {
		t.Errorf("%d suspects, want MaxSuspects", n)
	}
	if !s.Alive(w.ps[0].id) {
		t.Error("the process does not consider itself alive")
	}
	s.Transitions()
	for i := range 3 * maxTransitions {
		s.SetView(w.now, view(w.list[:1+81*(i%2)]))
	}
	if n := len(s.Transitions()); n != maxTransitions {
		t.Errorf("%d transitions, want maxTransitions", n)
	}
}

// TestRandomFaults checks under random faults that results change only with the version, that
// a suspicion needs direct evidence, and that all processes agree once the faults end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 10).Draw(t, "n"))
		w.loss = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "loss")
		for range rapid.IntRange(1, 15).Draw(t, "ops") {
			randomFault(t, w)
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				checkStep(t, w)
			}
		}
		w.loss, w.cut = 0, func(a, b *process) bool { return false }
		for _, p := range w.ps {
			p.frozen = false
			p.st.SetView(w.now, view(w.list))
		}
		if took, ok := w.until(2*DefaultHoldDownMax, w.converged); !ok {
			t.Fatalf("no agreement after %v", took)
		}
	})
}

func randomFault(t *rapid.T, w *testNetwork) {
	p := rapid.SampledFrom(w.ps).Draw(t, "process")
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		p.down = true
	case 1:
		w.restart(p)
	case 2:
		p.frozen = !p.frozen
	case 3:
		side := map[*process]bool{}
		for _, q := range w.ps {
			side[q] = rapid.Bool().Draw(t, "side")
		}
		w.cut = func(a, b *process) bool { return side[a] != side[b] }
	case 4:
		var in []fleet.Instance
		for _, x := range w.list {
			if rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
				in = append(in, x)
			}
		}
		p.st.SetView(w.now, view(in))
	case 5:
		p.st.OnPeerSuspicion(w.now, w.ps[0].id)
		p.st.OnLeaving(w.now, w.ps[0].id)
	}
}

func checkStep(t *rapid.T, w *testNetwork) {
	type answers struct{ alive, usable bool }
	ask := func() (m map[string]answers, versions []uint64) {
		m = map[string]answers{}
		for _, p := range w.ps {
			versions = append(versions, p.st.Version())
			for _, q := range w.ps {
				m[string(p.id+q.id)] = answers{p.st.Alive(q.id), p.st.Usable(q.id)}
			}
		}
		return m, versions
	}
	before, was := ask()
	received := map[string]time.Time{}
	for _, p := range w.ps {
		for _, q := range w.ps {
			received[string(p.id+q.id)] = p.st.peerLastReceived(q.id)
		}
	}
	w.step()
	after, is := ask()
	for i, p := range w.ps {
		for _, q := range w.ps {
			k := string(p.id + q.id)
			if before[k] != after[k] && was[i] == is[i] {
				t.Fatalf("%s: result for %s changed without a new version", p.id, q.id)
			}
			quiet := w.now.Sub(received[k])
			if before[k].alive && !after[k].alive && quiet < p.st.opts.MinSilence {
				t.Fatalf("%s suspects %s %v after its last message", p.id, q.id, quiet)
			}
		}
	}
}

// peerLastReceived returns the time of the last message from a peer, or the zero time.
func (s *State) peerLastReceived(id fleet.InstanceID) time.Time {
	if p := s.peers[id]; p != nil {
		return p.lastReceived
	}
	return time.Time{}
}
