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

// silence lets time pass without a word from anybody.
func silence(s *State, now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); {
		now = now.Add(netStep)
		s.DueHeartbeats(now)
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
		{"earlier run", func(s *State) { s.OnMessage(t0, "b", 5); s.OnMessage(t0, "b", 4) }, true, true, false, 5},
		{"leaving", func(s *State) { s.OnMessage(t0, "b", 5); s.OnLeaving(t0, "b") }, true, false, false, 5},
		{"listed as leaving", func(s *State) { s.SetView(t0, view([]fleet.Instance{{ID: "b", DataCentre: "dc0", Leaving: true}})) }, true, false, false, 0},
		{"restarted after leaving", func(s *State) { s.OnMessage(t0, "b", 5); s.OnLeaving(t0, "b"); s.OnMessage(t0, "b", 6) }, true, true, false, 6},
		{"gone", func(s *State) { s.SetView(t0, view(nil)) }, false, false, true, 0},
		{"back, with what is known of it", func(s *State) {
			s.OnMessage(t0, "b", 5)
			s.SetView(t0, view(nil))
			s.SetView(t0.Add(time.Second), view(listOf("dc0", "a", "b")))
		}, true, true, false, 5},
		{"back after long", func(s *State) {
			s.OnMessage(t0, "b", 5)
			s.SetView(t0, view(nil))
			s.SetView(t0.Add(goneRetention+time.Second), view(nil))
			s.SetView(t0.Add(goneRetention+time.Second), view(listOf("dc0", "a", "b")))
		}, true, true, false, 0},
		{"silent", func(s *State) { s.OnMessage(t0, "b", 5); silence(s, t0, 4*time.Second) }, false, false, false, 5},
		{"silent, gone and back", func(s *State) {
			now := silence(s, t0, 4*time.Second)
			s.SetView(now, view(nil))
			s.SetView(now, view(listOf("dc0", "a", "b")))
			silence(s, now, time.Second)
		}, false, false, false, 0},
		{"one failure, then no answer to heartbeats", func(s *State) {
			s.OnTimeout(t0, "b")
			silence(s, t0, 1500*time.Millisecond)
		}, false, false, false, 0},
		{"failures before a short pause", func(s *State) {
			s.OnTimeout(t0, "b")
			s.OnTimeout(t0.Add(s.opts.MinSilence/2), "b")
			s.OnPause(t0.Add(s.opts.MinSilence), s.opts.MinSilence/2)
			s.OnTimeout(t0.Add(s.opts.MinSilence), "b")
		}, true, true, false, 0},
		{"too few heartbeats sent", func(s *State) {
			for i := range 4 {
				s.DueHeartbeats(t0.Add(time.Duration(i) * 900 * time.Millisecond))
				s.peers["b"].failures = min(s.peers["b"].failures, 2)
			}
		}, true, true, false, 0},
		{"silent, rumors only", func(s *State) {
			for i := range 20 {
				s.OnPeerSuspicion(t0.Add(time.Duration(i)*time.Second), "b")
			}
		}, true, true, false, 0},
		{"failures at once after silence", func(s *State) {
			now := silence(s, t0, s.opts.MinSilence)
			for range 20 {
				s.OnTimeout(now, "b")
			}
		}, true, true, false, 0},
		{"failures right after it was heard", func(s *State) {
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
				now = silence(s, now, time.Duration(8*i+4)*time.Second)
			}
			s.OnMessage(now, "b", 6)
		}, true, true, false, 6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := New("a", "dc0", Options{})
			s.SetView(t0, view(listOf("dc0", "a", "b")))
			tc.do(s)
			got := []any{s.Alive("b"), s.Usable("b"), s.Gone("b"), s.Incarnation("b"), s.Alive("a")}
			if want := []any{tc.alive, tc.usable, tc.gone, tc.inc, true}; !reflect.DeepEqual(got, want) {
				t.Errorf("alive, usable, gone, incarnation, self alive: %v, want %v", got, want)
			}
		})
	}
}

func TestEarlierRunIsNotHeard(t *testing.T) {
	s := New("a", "dc0", Options{})
	s.SetView(t0, view(listOf("dc0", "a", "b")))
	s.OnMessage(t0, "b", 5)
	now := silence(s, t0, 4*time.Second)
	if s.OnMessage(now, "b", 4) || s.Alive("b") {
		t.Error("an earlier run speaks for the later one")
	}
}

// A rumor has a quiet peer probed at once, and one that was just heard not at all.
func TestRumorProbes(t *testing.T) {
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
		s.DueHeartbeats(t0)
		s.DueHeartbeats(t0.Add(600 * time.Millisecond))
		now := t0.Add(1200 * time.Millisecond)
		s.OnMessage(now.Add(-tc.quiet), "b000", 1)
		if tc.rumor {
			s.OnPeerSuspicion(now, "b000")
		}
		if got := len(s.DueHeartbeats(now)) > 0; got != tc.want {
			t.Errorf("%+v: probed %v", tc, got)
		}
	}
}

// An instance of another data centre gets no heartbeats: its suspicion rests on
// failed requests and ends with another try, later each time.
func TestOtherDataCentre(t *testing.T) {
	s := New("a", "dc0", Options{})
	s.SetView(t0, view(append(listOf("dc0", "a"), listOf("dc1", "b")...)))
	now := silence(s, t0, time.Minute)
	if !s.Alive("b") {
		t.Fatal("suspected without a failure")
	}
	var last time.Duration
	for range 5 {
		for range suspectFailures {
			s.OnTimeout(now, "b")
			now = silence(s, now, s.opts.MinSilence/2)
		}
		if s.Alive("b") {
			t.Fatal("not suspected")
		}
		began := now
		for !s.Alive("b") && now.Sub(began) < time.Hour {
			now = silence(s, now, netStep)
		}
		d := now.Sub(began)
		if d < last || d > s.opts.SuspicionHoldMax+netStep {
			t.Errorf("tried again after %v, before after %v", d, last)
		}
		last = d
	}
	if last < 2*s.opts.SuspicionHoldBase {
		t.Errorf("last suspicion lasted %v", last)
	}
}

func TestSuspectsAreBounded(t *testing.T) {
	w := newNet(1, 82)
	w.run(10 * time.Second)
	for _, p := range w.ps[1:] {
		p.down = true
	}
	w.run(20 * time.Second)
	s := w.ps[0].st
	if n := len(s.Suspects()); n != MaxSuspects {
		t.Errorf("%d suspects", n)
	}
	if !s.Alive(w.ps[0].id) {
		t.Error("not alive itself")
	}
	s.Transitions()
	for i := range 3 * maxTransitions {
		s.SetView(w.now, view(w.list[:1+81*(i%2)]))
	}
	if n := len(s.Transitions()); n != maxTransitions {
		t.Errorf("%d transitions", n)
	}
}

// Under random faults the answers change only with the version, suspicion needs
// evidence of its own, and all agree once the faults end.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 10).Draw(t, "n"))
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
		if took, ok := w.until(2*DefaultSuspicionHoldMax, w.agree); !ok {
			t.Fatalf("no agreement after %v", took)
		}
	})
}

func randomFault(t *rapid.T, w *net) {
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

func checkStep(t *rapid.T, w *net) {
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
	heard := map[string]time.Time{}
	for _, p := range w.ps {
		for _, q := range w.ps {
			heard[string(p.id+q.id)] = p.st.peerHeard(q.id)
		}
	}
	w.step()
	after, is := ask()
	for i, p := range w.ps {
		for _, q := range w.ps {
			k := string(p.id + q.id)
			if before[k] != after[k] && was[i] == is[i] {
				t.Fatalf("%s: answer about %s changed without a new version", p.id, q.id)
			}
			quiet := w.now.Sub(heard[k])
			if before[k].alive && !after[k].alive && quiet < p.st.opts.MinSilence {
				t.Fatalf("%s suspects %s, heard %v ago", p.id, q.id, quiet)
			}
		}
	}
}

// peerHeard returns when a peer was heard last, or the zero time.
func (s *State) peerHeard(id fleet.InstanceID) time.Time {
	if p := s.peers[id]; p != nil {
		return p.lastHeard
	}
	return time.Time{}
}
