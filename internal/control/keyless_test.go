package control_test

import (
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
	"github.com/dandelionvane/dandelionvane/internal/routing"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// emptyList returns a configuration with an empty list of workspaces, so that no API key is valid.
func emptyList(version int64) *routing.Config {
	c := config(version)
	c.Workspaces = []routing.Workspace{}
	return c
}

// forgeKeys sends a gateway a configuration with an API key of a stranger, in a Status and as the answer to a pull.
func forgeKeys(w *controltest.World, n *controltest.Node) {
	forged := publishedtest.Config(config(9, "forged"))
	r := n.State.Revision() + 9
	u := wire.StoreUpdate{Revision: r, After: n.State.Revision(), Items: storeItems(r, forged)}
	stateWith(w.Now(), forged).SignItems(w.Now(), &u, 0)
	n.State.Receive(w.Now(), stranger, 666, wire.Status{Timestamp: 1, Revision: u.Revision, Hello: strangerHello, Update: &u})
	n.State.PullDone(w.Now(), stranger, u, w.Now())
}

// TestForgedKeysAfterAnEmptyListAreRefused guards against API keys of a stranger that are accepted once a configuration has taken all
// keys away (ROUTE): by a gateway that had them, and by one that has started since.
func TestForgedKeysAfterAnEmptyListAreRefused(t *testing.T) {
	for name, restarted := range map[string]bool{"a gateway that had the keys": false, "a gateway that has started since": true} {
		t.Run(name, func(t *testing.T) {
			w := smallFleet(t)
			n := w.Nodes[4]
			w.Write(publishedtest.Config(emptyList(2)))
			w.Run(2 * time.Second)
			if restarted {
				n.RestartAfter(0)
				w.Run(3 * time.Second)
			}
			forgeKeys(w, n)
			if v := n.State.Dump(w.Now()).Store.ConfigVersion; v != 2 {
				t.Errorf("configuration %d, want 2", v)
			}
		})
	}
}

// TestKeysAfterAnEmptyListAreInForce guards against gateways that refuse the next configuration with keys for longer than a
// configuration may take.
func TestKeysAfterAnEmptyListAreInForce(t *testing.T) {
	w := smallFleet(t)
	w.Write(publishedtest.Config(emptyList(2)))
	w.Run(2 * time.Second)
	w.Nodes[4].RestartAfter(0)
	w.Run(3 * time.Second)
	w.Write(publishedtest.Config(config(3, "new")))
	w.Run(changeBound)
	for _, n := range w.Nodes {
		if v := n.State.Dump(w.Now()).Store.ConfigVersion; v != 3 {
			t.Errorf("%s has configuration %d, want 3", n.ID, v)
		}
	}
}

// TestEmptyListRefusesEveryKey guards against an empty list of workspaces that admits keys which were taken away, or which never
// existed, at gateways that run and at those that start meanwhile (ROUTE).
func TestEmptyListRefusesEveryKey(t *testing.T) {
	w := smallFleet(t)
	w.Write(publishedtest.Config(emptyList(2)))
	w.Nodes[5].RestartAfter(0)
	w.Run(2 * time.Second)
	w.Nodes[4].RestartAfter(0)
	w.Run(2 * time.Second)
	for _, n := range w.Nodes[:6] {
		for _, key := range []string{"key", "forged", ""} {
			expectReason(t, w, n, key, control.ReasonUnauthenticated)
		}
	}
}

// TestKeysWithoutListAreRefused guards against a configuration without a list of workspaces that admits keys which were taken away, or
// which no configuration ever held (ROUTE). Requests without a key are served.
func TestKeysWithoutListAreRefused(t *testing.T) {
	w := smallFleet(t)
	missing := config(2)
	missing.Workspaces = nil
	w.Write(publishedtest.Config(missing))
	w.Run(2 * time.Second)
	n := w.Nodes[0]
	expectReason(t, w, n, "key", control.ReasonUnauthenticated)
	expectReason(t, w, n, "forged", control.ReasonUnauthenticated)
	expectReason(t, w, n, "", control.ReasonNone)
}

// TestEmptyKeyIsNoKey guards against a workspace with an empty key whose name requests without a key get.
func TestEmptyKeyIsNoKey(t *testing.T) {
	w := smallFleet(t)
	w.Write(publishedtest.Config(config(2, "key", "")))
	w.Run(2 * time.Second)
	n := w.Nodes[0]
	expectReason(t, w, n, "", control.ReasonUnauthenticated)
	expectReason(t, w, n, "key", control.ReasonNone)
}

// expectReason sends a request with a key to a gateway and fails the test unless it is refused for the given reason, or none.
func expectReason(t *testing.T, w *controltest.World, n *controltest.Node, key string, want control.Reason) {
	t.Helper()
	answered := false
	n.Send(controltest.Request{Host: "h", Path: "/chat/x", Key: key}, func(o controltest.Outcome) {
		answered = true
		if o.Reason != want {
			t.Errorf("key %q: reason %v, want %v", key, o.Reason, want)
		}
	})
	w.Run(3 * time.Second)
	if !answered {
		t.Errorf("key %q: no response", key)
	}
}
