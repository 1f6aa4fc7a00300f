package control

import (
	"slices"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// Explanation says where a request would go now, and why. Times are in milliseconds. Pointers are nil where a part of the
// decision does not apply.
type Explanation struct {
	Gateway    fleet.InstanceID   `json:"gateway"`
	DataCentre fleet.DataCentreID `json:"data_centre"`
	Conditions []Condition        `json:"conditions"` // of the gateway, that make the answer less reliable
	Revision   fleet.Revision     `json:"revision"`   // of the store
	StoreAgeMS int64              `json:"store_age_ms"`
	WaitedMS   int64              `json:"waited_ms"` // for a turn of the control loop; set by the process

	Route          string              `json:"route,omitempty"`
	Kind           string              `json:"kind,omitempty"`
	Workspace      fleet.WorkspaceID   `json:"workspace,omitempty"`
	WorkspaceShare *WorkspaceShare     `json:"workspace_share,omitempty"`
	Priority       int                 `json:"priority"` // 0 is the most urgent
	TimeLimitMS    int64               `json:"time_limit_ms,omitempty"`
	Contention     *ContentionDecision `json:"contention,omitempty"`

	Services        []ServiceShare  `json:"services"` // from which the service is chosen; none if the route has one
	Service         fleet.ServiceID `json:"service,omitempty"`
	Rule            string          `json:"rule"` // how the endpoint is chosen: affinity, random, trial or none
	LoadBound       *float64        `json:"load_bound,omitempty"`
	MeanLoad        float64         `json:"mean_load"`          // of the eligible endpoints
	PeerCountsAgeMS int64           `json:"peer_counts_age_ms"` // mean age of what the loads contain of peers' requests

	Endpoints []EndpointExplanation `json:"endpoints"` // of the service, best first
	Decision  ExplainedDecision     `json:"decision"`
}

// Condition is a state of a gateway that makes its answers less reliable.
type Condition string

// Conditions of a gateway.
const (
	ConditionStarting Condition = "starting"                    // no configuration yet, or the other gateways are not known yet
	ConditionStopping Condition = "stopping"                    // a planned stop is in progress
	ConditionCutOff   Condition = "cut off from the store"      // reads fail, and no peer confirms the snapshot
	ConditionOutdated Condition = "out of date"                 // the snapshot is older than rejections may be based on
	ConditionAlone    Condition = "cut off from other gateways" // others are known, and none is heard
	ConditionBusy     Condition = "busy"                        // the query waited for longer than a tick
)

// ServiceShare is a service of a route with the probability that a request goes to it.
type ServiceShare struct {
	Service fleet.ServiceID `json:"service"`
	Share   float64         `json:"share"`
}

// WorkspaceShare is a workspace's share of a contended service.
type WorkspaceShare struct {
	Running *int    `json:"running,omitempty"` // requests of the fleet; nil: it is not one of the workspaces with the most
	Share   float64 `json:"share"`             // part of its requests that is within its share, at the priority that is partly admitted
	AgeMS   int64   `json:"age_ms"`            // of the counts of running requests
}

// ContentionDecision is the decision whether a request of a contended service is admitted.
type ContentionDecision struct {
	SinceMS       int64   `json:"since_ms"` // time since contention began
	Utilization   float64 `json:"utilization"`
	Target        float64 `json:"target"`
	AdmittedShare float64 `json:"admitted_share"`
	Rank          int     `json:"rank"`                     // among 1,000 requests in the order in which they are admitted, 0 is the first
	Probability   float64 `json:"probability"`              // of admission
	Reason        string  `json:"reason,omitempty"`         // of the likeliest rejection
	RetryAfterMS  int64   `json:"retry_after_ms,omitempty"` // mean, of a rejection
}

// EstimatedTimes is the estimated time to a request's first event at an endpoint, with its parts.
type EstimatedTimes struct {
	TotalMS       float64 `json:"total_ms"`
	WaitMS        float64 `json:"wait_ms"`
	ReadMS        float64 `json:"read_ms"` // at the endpoint's present speed
	DistanceMS    float64 `json:"distance_ms"`
	PendingReadMS float64 `json:"pending_read_ms"`        // prefill time outstanding there, at the usual speed
	SpeedPercent  int     `json:"speed_percent"`          // how long work takes, relative to the usual 100, as last reported
	SpeedAgeMS    *int64  `json:"speed_age_ms,omitempty"` // nil: there is no recent report
	Compared      bool    `json:"compared"`               // the choice was made by these times
	Learned       bool    `json:"learned"`                // from observations; otherwise the choice does not use them
}

// ReportedLoad is the load that an endpoint has reported itself.
type ReportedLoad struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	AgeMS   int64 `json:"age_ms"`
	Used    bool  `json:"used"` // recent enough to count
}

// EndpointExplanation is an endpoint of the request's service.
type EndpointExplanation struct {
	Position      int                   `json:"position"` // in the list, from 1
	Endpoint      fleet.EndpointID      `json:"endpoint"`
	DataCentre    fleet.DataCentreID    `json:"data_centre"`
	Version       fleet.SoftwareVersion `json:"version,omitempty"`
	Rank          *int                  `json:"rank,omitempty"`            // position in the order of the request's affinity, from 0
	Share         *float64              `json:"share,omitempty"`           // probability in a random choice
	Excluded      string                `json:"excluded,omitempty"`        // see Exclusion.String
	ExcludedForMS int64                 `json:"excluded_for_ms,omitempty"` // until the exclusion ends, if that is known
	Load          int                   `json:"load"`                      // estimated requests of the fleet
	Unreported    int                   `json:"unreported"`                // estimated requests that Load lacks, as the decision counts them
	InFlight      int                   `json:"in_flight"`                 // requests of this gateway
	PeersInFlight int                   `json:"peers_in_flight"`           // as peers have reported
	Reported      *ReportedLoad         `json:"reported,omitempty"`
	Times         *EstimatedTimes       `json:"times,omitempty"`
}

// ExplainedDecision is the result of an explained placement: an endpoint, a random choice, or a rejection.
type ExplainedDecision struct {
	Endpoint     fleet.EndpointID `json:"endpoint,omitempty"`
	Random       bool             `json:"random,omitempty"`
	Reason       string           `json:"reason,omitempty"`         // of a rejection
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"` // mean; the actual one differs by up to a quarter
}

// Drawn returns the endpoints that a random choice may pick, in the order of their IDs.
func (x *Explanation) Drawn() []fleet.EndpointID {
	var out []fleet.EndpointID
	for _, e := range x.Endpoints {
		if e.Share != nil && *e.Share > 0 {
			out = append(out, e.Endpoint)
		}
	}
	slices.Sort(out)
	return out
}
