package core

import (
	"strconv"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/limits"
	"github.com/dandelionvane/dandelionvane/internal/ownership"
	"github.com/dandelionvane/dandelionvane/internal/redeem"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// maxDumpedRequests is the maximum number of requests that a dump lists individually.
const maxDumpedRequests = 64

// Dump is a snapshot of a router's decision state for operators and tools.
type Dump struct {
	Instance        fleet.InstanceID   `json:"instance"`
	DataCentre      fleet.DataCentreID `json:"data_centre"`
	Incarnation     fleet.Incarnation  `json:"incarnation"`
	Ready           bool               `json:"ready"`
	Stopping        bool               `json:"stopping"`
	WatchesPlatform bool               `json:"reader"` // true for readers, and while a feed is missing
	Platform        string             `json:"platform"`
	FeedsReady      bool               `json:"feeds_ready"`
	Revisions       Revisions          `json:"revisions"`
	RetriesLeft     float64            `json:"retries_left"`   // in the router's retry budget
	GrantedVotes    int                `json:"promises_given"` // unexpired, including those for itself
	Peers           []PeerDump         `json:"peers"`
	Endpoints       []EndpointDump     `json:"owned_endpoints"`
	Accounts        []AccountDump      `json:"owned_accounts"`
	Owned           []OwnedDump        `json:"owned_resources"`
	PoolLoads       []LoadDump         `json:"pool_loads"`
	Redemption      RedemptionDump     `json:"redemption"`
	Requests        int                `json:"requests_in_progress"`
	RequestsByPhase Counts             `json:"requests_by_phase"`
	OldestRequests  []RequestDump      `json:"oldest_requests"`
	Stats           Stats              `json:"stats"`
}

// Revisions holds the current revisions of the feeds.
type Revisions struct {
	Configuration fleet.Revision `json:"configuration"`
	Instances     fleet.Revision `json:"instances"`
	Endpoints     fleet.Revision `json:"endpoints"`
}

// PeerDump is the membership state of one instance as seen by this router.
type PeerDump struct {
	ID            fleet.InstanceID   `json:"id"`
	DataCentre    fleet.DataCentreID `json:"data_centre"`
	Incarnation   fleet.Incarnation  `json:"incarnation"` // highest received; 0: none
	Alive         bool               `json:"alive"`
	Usable        bool               `json:"usable"`
	Suspected     bool               `json:"suspected"`
	Leaving       bool               `json:"leaving"`
	Starting      bool               `json:"starting"` // may not own resources yet
	LastContactMS int64              `json:"heard_ms"` // since the last message, initially since it was listed
	Failures      int                `json:"failures"` // heartbeats and requests without a reply since then
}

// EndpointDump is the state of admission to one endpoint that a router owns.
type EndpointDump struct {
	ID          fleet.EndpointID `json:"id"`
	Leases      int              `json:"leases"`
	ForeignLoad int              `json:"foreign"` // load admitted by other owners
	Queued      int              `json:"queued"`
	Limit       int              `json:"limit"` // concurrent requests under all owners together
	Usable      int              `json:"share"` // concurrent requests that this owner may admit
}

// AccountDump is the quota account of one workspace at its owner.
type AccountDump struct {
	Workspace fleet.WorkspaceID `json:"workspace"`
	limits.Account
}

// OwnedDump is a resource that a router owns in its own view.
type OwnedDump struct {
	Kind      string  `json:"kind"`
	ID        string  `json:"id"`
	VoteShare float64 `json:"share"`    // fraction of the voters whose vote for this router is valid now
	SinceMS   int64   `json:"since_ms"` // time since this router became the owner in its view
}

// LoadDump is the latest load of an endpoint that this router received.
type LoadDump struct {
	Endpoint    fleet.EndpointID `json:"endpoint"`
	Load        uint32           `json:"load"`
	Limit       uint32           `json:"limit"`
	Incarnation uint32           `json:"incarnation"` // low bits only
}

// RedemptionDump is the ticket and key state of a router.
type RedemptionDump struct {
	redeem.Stats
	Asked int `json:"asked"` // execution rights requested by this router, including recently settled ones
}

// RequestDump is one request in progress.
type RequestDump struct {
	ID        fleet.RequestID   `json:"id"`
	Workspace fleet.WorkspaceID `json:"workspace"`
	Phase     string            `json:"phase"`
	AgeMS     int64             `json:"age_ms"`
	LeftMS    int64             `json:"left_ms"` // until its deadline
	Endpoint  fleet.EndpointID  `json:"endpoint,omitempty"`
}

// Dump returns a snapshot of the decision state.
func (c *Core) Dump() Dump {
	d := Dump{
		Instance:        c.opts.Self,
		DataCentre:      c.opts.DataCentre,
		Incarnation:     c.opts.Incarnation,
		Ready:           c.ready,
		Stopping:        c.stopping,
		WatchesPlatform: c.watchingPlatform,
		Platform:        "readable",
		FeedsReady:      c.feed.Ready(),
		RetriesLeft:     c.budget.RouterTokens(),
		GrantedVotes:    c.ownership.GrantedVotes(c.now),
		Redemption:      RedemptionDump{Stats: c.redeemServer.Stats(), Asked: c.redeemClient.InFlight()},
		Requests:        len(c.requests),
		RequestsByPhase: c.dumpPhases(),
		OldestRequests:  c.dumpOldest(),
		PoolLoads:       c.dumpLoads(),
		Stats:           c.Stats(),
	}
	if c.platformUnreadable {
		d.Platform = "unreadable"
	}
	d.Revisions.Configuration, d.Revisions.Instances, d.Revisions.Endpoints = c.feed.Revisions()
	for i := range c.view.Instances.Instances {
		d.Peers = append(d.Peers, c.dumpPeer(&c.view.Instances.Instances[i]))
	}
	for _, id := range c.admission.Owned() {
		d.Endpoints = append(d.Endpoints, c.dumpEndpoint(id))
	}
	c.dumpOwned(&d)
	return d
}

func (c *Core) dumpPeer(in *fleet.Instance) PeerDump {
	p := PeerDump{
		ID:         in.ID,
		DataCentre: in.DataCentre,
		Alive:      c.members.Alive(in.ID),
		Usable:     c.members.Usable(in.ID),
		Starting:   c.starting[in.ID],
	}
	if in.ID == c.opts.Self {
		p.Incarnation = c.opts.Incarnation
		p.Starting = c.selfStarting
		p.Leaving = c.stopping || in.Leaving
		return p
	}
	if x, ok := c.members.Detail(in.ID); ok {
		p.Incarnation = x.Incarnation
		p.Suspected = x.Suspected
		p.Leaving = x.Leaving
		p.LastContactMS = c.now.Sub(x.SilentSince).Milliseconds()
		p.Failures = x.Failures
	}
	return p
}

func (c *Core) dumpEndpoint(id fleet.EndpointID) EndpointDump {
	e := EndpointDump{ID: id}
	e.Leases, e.ForeignLoad, e.Queued, _ = c.admission.Load(id)
	e.Limit, e.Usable = c.admission.Limit(c.now, id)
	return e
}

// dumpOwned adds the resources that this router owns and the quota accounts of its workspaces.
func (c *Core) dumpOwned(d *Dump) {
	names := c.resourceNames()
	for _, res := range c.ownership.Owned() {
		o := OwnedDump{Kind: res.Kind.String(), ID: names[res], VoteShare: c.ownership.VoteShare(c.now, res)}
		if since, ok := c.ownership.OwnedSince(res); ok {
			o.SinceMS = c.now.Sub(since).Milliseconds()
		}
		if ws, ok := c.limitedWorkspaces[res.ID]; ok && res.Kind == wire.ResourceWorkspace {
			if a, ok := c.quotaOwner.Account(c.now, ws); ok {
				d.Accounts = append(d.Accounts, AccountDump{Workspace: ws, Account: a})
			}
		}
		d.Owned = append(d.Owned, o)
	}
}

// resourceNames returns the names of all ownable resources.
func (c *Core) resourceNames() map[wire.Resource]string {
	names := map[wire.Resource]string{}
	for i := range c.view.Endpoints.Endpoints {
		id := c.view.Endpoints.Endpoints[i].ID
		names[ownership.EndpointResource(id)] = string(id)
	}
	for id := range c.view.Config.Workspaces {
		names[ownership.WorkspaceResource(id)] = string(id)
	}
	for slot := range ownership.KeySlots {
		names[ownership.KeySlotResource(slot)] = strconv.Itoa(slot)
	}
	return names
}

// dumpLoads returns the loads that are not stale, in the order of the endpoint list.
func (c *Core) dumpLoads() []LoadDump {
	var out []LoadDump
	for i := range c.view.Endpoints.Endpoints {
		id := c.view.Endpoints.Endpoints[i].ID
		if e, ok := c.pool.Known(c.now, c.view.EndpointHash(id)); ok {
			out = append(out, LoadDump{Endpoint: id, Load: e.Load, Limit: e.Limit, Incarnation: e.IncarnationLow})
		}
	}
	return out
}

func (c *Core) dumpPhases() Counts {
	phases := counter[phase]{}
	for _, r := range c.requests {
		phases.add(r.phase)
	}
	return phases.byLabel()
}

// dumpOldest returns the oldest requests in progress.
func (c *Core) dumpOldest() []RequestDump {
	var out []RequestDump
	for _, r := range c.byArrival {
		if len(out) == maxDumpedRequests {
			break
		}
		if c.requests[r.in.ID] == r {
			out = append(out, c.dumpRequest(r))
		}
	}
	return out
}

func (c *Core) dumpRequest(r *request) RequestDump {
	d := RequestDump{
		ID:        r.in.ID,
		Workspace: r.workspace.ID,
		Phase:     r.phase.String(),
		AgeMS:     c.now.Sub(r.startedAt).Milliseconds(),
		LeftMS:    r.deadline.Sub(c.now).Milliseconds(),
	}
	if r.target != nil {
		d.Endpoint = r.target.ID
	}
	return d
}
