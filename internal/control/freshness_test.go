package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// TestRevokedKeyWhileCutOff: a gateway that is partitioned from the store and its peers does not receive
// a key's revocation. It must reject all keys by the time at which the revocation has to be in force.
func TestRevokedKeyWhileCutOff(t *testing.T) {
	w := smallFleet(t)
	partitioned := w.Nodes[4]
	w.Partitioned = func(a, _ string) bool { return a == string(partitioned.ID) }
	w.Write(publishedtest.Config(config(2)))
	writtenAt := w.Now()
	var acceptedAfter []time.Duration
	for range 200 {
		partitioned.Send(bookRequest, func(o controltest.Outcome) {
			if o.Reason != control.ReasonStale {
				acceptedAfter = append(acceptedAfter, w.Now().Sub(writtenAt))
			}
		})
		w.Run(50 * time.Millisecond)
	}
	for _, d := range acceptedAfter {
		if d > 5*time.Second {
			t.Errorf("a revoked key was accepted %v after its revocation", d)
		}
	}
	if len(acceptedAfter) == 0 {
		t.Error("the key was rejected immediately")
	}
	if partitioned.State.Ready(w.Now()) {
		t.Error("the gateway reports ready while partitioned")
	}
	w.Partitioned = nil
	w.Run(2 * time.Second)
	partitioned.Send(bookRequest, func(o controltest.Outcome) {
		if o.Reason != control.ReasonUnauthenticated {
			t.Errorf("after the partition: reason %v", o.Reason)
		}
	})
}

// TestFrozenGateway: the snapshot age of a gateway includes the time for which its process was
// paused, so that it does not accept a key that was revoked in that time.
func TestFrozenGateway(t *testing.T) {
	w := smallFleet(t)
	n := w.Nodes[3]
	n.Pause(6 * time.Second)
	w.Run(100 * time.Millisecond)
	w.Write(publishedtest.Config(config(2)))
	w.Run(5500 * time.Millisecond)
	answered := false
	n.Send(bookRequest, func(o controltest.Outcome) {
		answered = true
		if o.Endpoint != nil {
			t.Error("a key was accepted that had been revoked 5.5 s before")
		}
	})
	w.Run(time.Second)
	if !answered {
		t.Error("the request got no response")
	}
}

// TestDelayedStatus: a Status that was delayed in transit must not reduce the snapshot age
// below its actual age.
func TestDelayedStatus(t *testing.T) {
	w := smallFleet(t)
	n := w.Nodes[8]
	w.Run(time.Second)
	w.Partitioned = func(a, _ string) bool { return a == controltest.StoreName || a == string(n.ID) }
	n.Pause(3 * time.Second) // messages in transit are delivered after it
	w.Run(3 * time.Second)
	if got := n.State.SnapshotAge(w.Now()); got < 3*time.Second {
		t.Errorf("snapshot age %v after three seconds without an update", got)
	}
}

// TestRevisionNeverGoesBack: the revision of a process never decreases while the configuration changes
// often, gateways restart and peers send changes before the process itself reads them.
func TestRevisionNeverGoesBack(t *testing.T) {
	w := smallFleet(t)
	for v := int64(2); v < 40; v++ {
		w.Write(publishedtest.Config(config(v, "key")))
		w.Run(time.Duration(w.Rand().IntN(300)) * time.Millisecond)
		if v%7 == 0 {
			w.Nodes[w.Rand().IntN(len(w.Nodes))].RestartAfter(300 * time.Millisecond)
		}
		for _, n := range w.Nodes {
			if n.State == nil {
				continue
			}
			rev := n.State.Revision()
			state := n.State
			w.After(100*time.Millisecond, func() {
				if n.State == state && state.Revision() < rev {
					t.Errorf("%s went back from %d to %d", n.ID, rev, state.Revision())
				}
			})
		}
	}
	w.Run(time.Second)
}

// TestSnapshotAgeOfSlowRead: the snapshot age after a read counts from the time at which the read was
// sent.
func TestSnapshotAgeOfSlowRead(t *testing.T) {
	const readTime = 3 * time.Second
	w := controltest.New(seed, 1)
	n := w.Nodes[0]
	w.Write(publishedtest.Config(config(1, "key")))
	w.Run(time.Second)
	w.Partitioned = func(a, b string) bool { return true }
	w.Run(2 * readTime)
	u := w.Store.Update(true, 0)
	u.Confirmed = w.Now().Add(-readTime)
	n.State.ReadDone(w.Now(), u)
	if age := n.State.SnapshotAge(w.Now()); age != readTime {
		t.Errorf("snapshot age %v after a read that took %v", age, readTime)
	}
}

// TestRequestsThatAreNotServed checks the reasons for rejections that do not depend on endpoints.
func TestRequestsThatAreNotServed(t *testing.T) {
	w := smallFleet(t)
	for name, tc := range map[string]struct {
		r    controltest.Request
		want control.Reason
	}{
		"unknown key":    {controltest.Request{Host: "h", Path: "/chat/x", Key: "forged"}, control.ReasonUnauthenticated},
		"no key":         {controltest.Request{Host: "h", Path: "/chat/x"}, control.ReasonUnauthenticated},
		"unknown host":   {controltest.Request{Host: "x", Path: "/chat/x", Key: "key"}, control.ReasonNoRoute},
		"unknown path":   {controltest.Request{Host: "h", Path: "/", Key: "key"}, control.ReasonNoRoute},
		"public, no key": {controltest.Request{Host: "h:80", Path: "/open/"}, control.ReasonNone},
		"public, forged": {controltest.Request{Host: "H", Path: "/open/", Key: "forged"}, control.ReasonNone},
	} {
		answered := false
		w.Nodes[0].Send(tc.r, func(o controltest.Outcome) {
			answered = true
			if o.Reason != tc.want {
				t.Errorf("%s: reason %v, want %v", name, o.Reason, tc.want)
			}
		})
		w.Run(time.Second)
		if !answered {
			t.Errorf("%s: no response", name)
		}
	}
	w.Partitioned = func(a, b string) bool { return true }
	w.Run(2 * time.Second)
	for name, r := range map[string]controltest.Request{
		"unknown key":  {Host: "h", Path: "/chat/x", Key: "forged"},
		"unknown path": {Host: "h", Path: "/", Key: "key"},
	} {
		w.Nodes[0].Send(r, func(o controltest.Outcome) {
			if o.Reason != control.ReasonStale {
				t.Errorf("%s, two seconds after the last update: reason %v", name, o.Reason)
			}
		})
	}
	unconfigured := controltest.New(seed, 1)
	unconfigured.Nodes[0].Send(chatRequest, func(o controltest.Outcome) {
		if o.Reason != control.ReasonNoConfig {
			t.Errorf("without a configuration: reason %v", o.Reason)
		}
	})
}
