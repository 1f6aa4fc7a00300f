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

// Priority returns the priority of a request of a workspace, nil for none, on a route, from 0 to PriorityLevels-1. The
// workspace's priority takes precedence; among equal ones the route's decides. A configuration with more than
// PriorityLevels urgencies has neighbouring ones share a priority.
func (t *Table) Priority(w *Workspace, r *Route) int {
	i, _ := slices.BinarySearchFunc(t.ranks, urgencyOf(w, r), compareUrgency)
	if n := len(t.ranks); n > PriorityLevels {
		return i * PriorityLevels / n
	}
	return i
}
