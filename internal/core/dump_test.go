package core_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/coretest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
)

// limitedFleet returns a fleet in which all workspaces but the last have low limits.
func limitedFleet(t *testing.T) *coretest.World {
	t.Helper()
	w := coretest.New(3)
	w.Build(coretest.Vatuwai)
	cfg := w.Platform.Config()
	plan := cfg.Plans["standard"]
	plan.Limits = fleet.Limits{RequestsPerSecond: 3, Concurrent: 30}
	free := plan
	free.ID = "free"
	free.Limits = fleet.Limits{}
	cfg.Plans = map[fleet.PlanID]fleet.Plan{plan.ID: plan, free.ID: free}
	cfg.Workspaces = maps.Clone(cfg.Workspaces)
	last := cfg.Workspaces[coretest.WorkspaceID(9)]
	last.Plan = free.ID
	cfg.Workspaces[last.ID] = last
	w.Platform.PublishConfig(cfg)
	w.Run(12 * time.Second)
	return w
}

func sum(c core.Counts) (n uint64) {
	for _, x := range c {
		n += x
	}
	return n
}

// TestDumpHoldsTheDecisionState checks the dumps of a fleet under load, with one router
// killed, against the deployment.
func TestDumpHoldsTheDecisionState(t *testing.T) {
	w := limitedFleet(t)
	w.Nodes[8].Kill()
	w.StartLoad(&coretest.Load{Rate: steady(40), Chats: 400}, 20*time.Second)
	w.Run(19 * time.Second)
	owners := map[string]int{}
	inProgress, accounts := 0, 0
	for _, n := range w.Nodes[:8] {
		d := n.Core.Dump()
		for _, o := range d.Owned {
			if o.VoteShare > 0 {
				owners[o.Kind]++
			}
			if o.ID == "" || o.SinceMS < 0 {
				t.Errorf("%s: owned %+v", n.ID, o)
			}
		}
		inProgress += d.Requests
		accounts += len(d.Accounts)
		checkRequests(t, d)
		checkPeers(t, d, w.Nodes[8].ID)
		for _, e := range d.Endpoints {
			if !slices.ContainsFunc(d.PoolLoads, func(l core.LoadDump) bool { return l.Endpoint == e.ID && l.Limit > 0 }) {
				t.Errorf("%s: the load of %s is not among %+v", n.ID, e.ID, d.PoolLoads)
			}
		}
		if !d.FeedsReady || d.GrantedVotes == 0 || d.RetriesLeft <= 0 {
			t.Errorf("%s: feeds ready %t, %d granted votes, %v retries left", n.ID, d.FeedsReady, d.GrantedVotes, d.RetriesLeft)
		}
	}
	// An endpoint has one owner in its data centre, a workspace one owner in each data
	// centre, and a key slot one owner in the whole fleet.
	if owners["endpoint"] != 15 || owners["workspace"] != 30 || owners["key_slot"] != ownership.KeySlots {
		t.Errorf("owners: %v", owners)
	}
	if accounts != 27 || inProgress == 0 {
		t.Errorf("%d accounts, %d requests in progress", accounts, inProgress)
	}
}

func checkRequests(t *testing.T, d core.Dump) {
	t.Helper()
	if sum(d.RequestsByPhase) != uint64(d.Requests) || len(d.OldestRequests) != d.Requests {
		t.Errorf("%s: %d requests in phases %v, %d listed", d.Instance, d.Requests, d.RequestsByPhase, len(d.OldestRequests))
	}
	byAge := func(a, b core.RequestDump) int { return int(b.AgeMS - a.AgeMS) }
	if !slices.IsSortedFunc(d.OldestRequests, byAge) {
		t.Errorf("%s: requests are not sorted by age: %+v", d.Instance, d.OldestRequests)
	}
	for _, r := range d.OldestRequests {
		if r.LeftMS <= 0 || r.Workspace == "" || d.RequestsByPhase[r.Phase] == 0 || (r.Phase == "attempt") != (r.Endpoint != "") {
			t.Errorf("%s: request %+v", d.Instance, r)
		}
	}
}

func checkPeers(t *testing.T, d core.Dump, dead fleet.InstanceID) {
	t.Helper()
	if len(d.Peers) != 9 {
		t.Errorf("%s: peers %+v", d.Instance, d.Peers)
	}
	for _, p := range d.Peers {
		local := p.DataCentre == d.DataCentre
		if p.ID == dead && local && (!p.Suspected || p.LastContactMS < 1000 || p.Alive) {
			t.Errorf("%s: dead peer %+v", d.Instance, p)
		}
		if p.ID != dead && (p.Suspected || !p.Usable || local && (p.LastContactMS > 5000 || p.Incarnation == 0)) {
			t.Errorf("%s: peer %+v", d.Instance, p)
		}
	}
}

// TestStatsCountEachCase sends requests above the limits and one with an unknown key.
func TestStatsCountEachCase(t *testing.T) {
	w := limitedFleet(t)
	l := &coretest.Load{Rate: steady(60), Chats: 400}
	w.StartLoad(l, 30*time.Second)
	w.Request(w.Nodes[0], core.CallerRequest{APIKeyHash: "stranger", Model: coretest.ModelID(0), Idempotent: true}, nil)
	w.Run(60 * time.Second)
	total := core.Stats{NotRunByReason: core.Counts{}, LeaseReplies: core.Counts{}}
	for _, n := range w.Nodes {
		s := n.Core.Stats()
		if sum(s.NotRunByReason) != s.NotRun || sum(s.UnknownByReason) != s.Unknown {
			t.Errorf("%s: outcomes %+v", n.ID, s)
		}
		total.QuotaGranted += s.QuotaGranted
		total.QuotaRefused += s.QuotaRefused
		total.Attempts += s.Attempts
		for reason, k := range s.NotRunByReason {
			total.NotRunByReason[reason] += k
		}
		for result, k := range s.LeaseReplies {
			total.LeaseReplies[result] += k
		}
	}
	if n := total.NotRunByReason["rate_limited"]; n == 0 || n != total.QuotaRefused || n != uint64(l.Reasons[core.ReasonRateLimited]) {
		t.Errorf("rate limited: %d outcomes, %d refusals, callers saw %v", n, total.QuotaRefused, l.Reasons)
	}
	if total.NotRunByReason["unauthenticated"] != 1 {
		t.Errorf("outcomes %v", total.NotRunByReason)
	}
	if g := total.LeaseReplies["granted"]; g != total.Attempts || g != total.QuotaGranted {
		t.Errorf("%d leases granted, %d attempts, %d limits granted", g, total.Attempts, total.QuotaGranted)
	}
}
