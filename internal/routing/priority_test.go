package routing

import (
	"testing"

	"pgregory.net/rapid"
)

// TestPriorityOfRouteBreaksTies guards against requests of all routes having one priority because their workspaces do.
func TestPriorityOfRouteBreaksTies(t *testing.T) {
	urgent, normal := Workspace{ID: "urgent", Priority: 0, HasPriority: true}, Workspace{ID: "normal", Priority: 1, HasPriority: true}
	table := NewTable(&Config{
		Routes:     []Route{{Prefix: "/chat/", Priority: 0}, {Prefix: "/tag/", Priority: 1}, {Prefix: "/plan/", Priority: 2}},
		Workspaces: []Workspace{urgent, normal},
	})
	last := -1
	for _, w := range []*Workspace{&urgent, &normal} {
		for i := range table.Config().Routes {
			p := table.Priority(w, &table.Config().Routes[i], false)
			if p <= last {
				t.Errorf("workspace %s, route %s: priority %d after %d", w.ID, table.Config().Routes[i].Prefix, p, last)
			}
			last = p
		}
	}
}

// TestPrioritiesKeepOrder guards against a request that overtakes one whose workspace, or with an equal workspace whose
// route, is more urgent, and against one above its workspace's share that precedes one within of the same urgency, in
// configurations with any number of priorities.
func TestPrioritiesKeepOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &Config{}
		for _, p := range rapid.SliceOfN(rapid.IntRange(0, 9), 1, 8).Draw(t, "routes") {
			c.Routes = append(c.Routes, Route{Priority: p})
		}
		for _, p := range rapid.SliceOfN(rapid.IntRange(-1, 9), 0, 8).Draw(t, "workspaces") {
			c.Workspaces = append(c.Workspaces, Workspace{Priority: p, HasPriority: p >= 0})
		}
		table := NewTable(c)
		draw := func(name string) (*Workspace, *Route) {
			r := &c.Routes[rapid.IntRange(0, len(c.Routes)-1).Draw(t, name+" route")]
			if w := rapid.IntRange(-1, len(c.Workspaces)-1).Draw(t, name+" workspace"); w >= 0 {
				return &c.Workspaces[w], r
			}
			return nil, r
		}
		wa, ra := draw("a")
		wb, rb := draw("b")
		order := compareUrgency(urgencyOf(wa, ra), urgencyOf(wb, rb))
		for _, above := range []struct{ a, b bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
			a, b := table.Priority(wa, ra, above.a), table.Priority(wb, rb, above.b)
			if a < 0 || a >= PriorityLevels {
				t.Fatalf("priority %d", a)
			}
			if order < 0 && a > b || order == 0 && (above.a == above.b && a != b || above.a && !above.b && a < b) {
				t.Fatalf("priorities %d and %d, order %d, above %v", a, b, order, above)
			}
		}
	})
}

// TestLeastUrgentAreDivided guards against requests above and within the share that have the same priority where queues are
// longest, at the least urgent routes, and against undivided routes of a configuration with few of them.
func TestLeastUrgentAreDivided(t *testing.T) {
	for n := 1; n <= 2*PriorityLevels; n++ {
		c := &Config{Routes: make([]Route, n)}
		for i := range c.Routes {
			c.Routes[i].Priority = i
		}
		table := NewTable(c)
		divided := min(n, minDivided)
		if n <= PriorityLevels/2 {
			divided = n
		}
		last := -1
		for i := n - divided; i < n; i++ {
			within, above := table.Priority(nil, &c.Routes[i], false), table.Priority(nil, &c.Routes[i], true)
			if within <= last || above <= within {
				t.Errorf("%d routes: route %d has the priorities %d and %d after %d", n, i, within, above, last)
			}
			last = above
		}
	}
}
