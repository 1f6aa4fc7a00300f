package control_test

import (
	"fmt"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/routing"
)

// playWorld returns the gateways of a play. Those named in load.gateways have the first two of each data centre as aggregators.
func playWorld(l load) *controltest.World {
	if l.gateways == nil {
		return controltest.New(l.seed, 6, 5, 5)
	}
	w := controltest.New(l.seed)
	w.Options = rankGateways
	for dc, n := range l.gateways {
		for i := range n {
			w.AddNode(fleet.DataCentreID(rune('a'+dc)), i+1)
		}
	}
	return w
}

func playConfig(samePriority bool) *routing.Config {
	c := config(1)
	c.Routes, c.Workspaces = nil, nil
	for i := range playKinds {
		r := playKinds[i].route
		if samePriority {
			r.Priority = 0
		}
		c.Routes = append(c.Routes, r)
	}
	for i := range playWorkspaces {
		id := fleet.WorkspaceID(fmt.Sprintf("ws-%d", i))
		c.Workspaces = append(c.Workspaces, routing.Workspace{ID: id, Keys: []string{string(id)}, Priority: 1, HasPriority: true})
	}
	c.Services = []routing.Service{{ID: llm, Slots: 16, CacheTokens: 600_000}, {ID: desk, Slots: 6}}
	return c
}

// playEngine returns a model engine as the deployments have them: 16 slots, 48 waiting requests, 85 tokens per ms.
func playEngine(i int) *controltest.Endpoint {
	e := engine(i, fleet.DataCentreID(rune('a'+i%3)))
	e.Capacity, e.Slots, e.QueueLimit, e.ReportsLoad = 16, 16, 48, true
	e.PerEvent, e.PerToken = 34*time.Millisecond, time.Millisecond/85
	return e
}

func playReplica(i int) *controltest.Endpoint {
	e := replica(i, fleet.DataCentreID(rune('a'+i%3)))
	e.QueueLimit, e.ReportsLoad, e.ServiceTime = 24, true, 60*time.Millisecond
	return e
}
