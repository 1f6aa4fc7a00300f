package routing

import (
	"cmp"
	"slices"
)

// PriorityLevels is the number of priorities that endpoints distinguish: 0, the most urgent, to PriorityLevels-1.
const PriorityLevels = 10

// urgency is the order of a request: its workspace's priority, or its route's if the workspace has none, and
// then its route's.
type urgency struct{ first, second int }

// priorityRanks holds the urgencies that requests can have under one configuration, the most urgent first.
type priorityRanks []urgency

func rankPriorities(c *Config) priorityRanks {
	var all priorityRanks
	for i := range c.Routes {
		r := &c.Routes[i]
		all = append(all, urgencyOf(nil, r))
		for j := range c.Workspaces {
			if c.Workspaces[j].HasPriority {
				all = append(all, urgencyOf(&c.Workspaces[j], r))
			}
		}
	}
	slices.SortFunc(all, compareUrgency)
	return slices.Compact(all)
}

func urgencyOf(w *Workspace, r *Route) urgency {
	if w != nil && w.HasPriority {
		return urgency{w.Priority, r.Priority}
	}
	return urgency{r.Priority, r.Priority}
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.second, b.second))
}

// minDivided is the number of urgencies, the least urgent ones, that have a priority above the share of their own even if
// there are more urgencies than priorities. More urgent requests hardly wait in the queues of endpoints, so that
// their order within an urgency matters less than that between urgencies.
const minDivided = 3

// Priority returns the priority of a request of a workspace, nil for none, on a route, from 0 to PriorityLevels-1. The
// workspace's priority takes precedence; among equal ones the route's decides. Requests above their workspace's share,
// see package contention, follow those within it of the same urgency. A configuration with more than PriorityLevels/2
// urgencies does not divide the most urgent ones, and has neighbouring ones of them share a priority if there are more
// than are left.
func (t *Table) Priority(w *Workspace, r *Route, above bool) int {
	i, _ := slices.BinarySearchFunc(t.ranks, urgencyOf(w, r), compareUrgency)
	divided := min(len(t.ranks), max(PriorityLevels-len(t.ranks), minDivided))
	undivided := len(t.ranks) - divided
	levels := min(undivided, PriorityLevels-2*divided)
	if i < undivided {
		return i * levels / undivided
	}
	p := levels + 2*(i-undivided)
	if above {
		p++
	}
	return p
}
