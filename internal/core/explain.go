package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// ExplainedRequests is the number of most recent finished requests that Explain can return.
	ExplainedRequests = 512

	maxTraceSteps      = 32 // per request
	maxRankedEndpoints = 4  // per request, best first
)

// TraceStep is one step in the trace of a request.
type TraceStep struct {
	AfterMS int64  `json:"after_ms"` // since the request arrived
	Step    string `json:"step"`
	Detail  string `json:"detail"`
}

// Explanation reports why a request was placed where it was, or why it was refused.
type Explanation struct {
	ID             fleet.RequestID   `json:"request_id"`
	Workspace      fleet.WorkspaceID `json:"workspace"`
	Plan           fleet.PlanID      `json:"plan"`
	Model          fleet.ModelID     `json:"model,omitempty"`
	Service        fleet.ServiceID   `json:"service,omitempty"`
	ConfigRevision fleet.Revision    `json:"configuration_revision"`
	Outcome        string            `json:"outcome"` // "" while in progress
	Reason         Reason            `json:"reason,omitempty"`
	Endpoint       fleet.EndpointID  `json:"endpoint,omitempty"` // of the last attempt

	DeadlineMS    int64              `json:"deadline_ms"` // since the request arrived
	WaitedMS      int64              `json:"waited_ms"`   // until the first attempt, or until the end if there was none
	QuotaDecision string             `json:"limits"`      // result of the quota check
	Hint          string             `json:"hint"`        // whether the placement hint was used, and if not, why
	Ranked        []fleet.EndpointID `json:"ranked"`      // best ranked endpoints, ignoring the hint
	Trace         []TraceStep        `json:"decisions"`
}

func (c *Core) addTraceStep(r *request, step, detail string) {
	if len(r.trace) >= maxTraceSteps {
		return
	}
	after := c.now.Sub(r.startedAt) / time.Millisecond
	r.trace = append(r.trace, TraceStep{AfterMS: int64(after), Step: step, Detail: detail})
}

func (c *Core) explain(r *request, o Outcome, reason Reason) Explanation {
	e := Explanation{
		ID:             r.in.ID,
		Workspace:      r.workspace.ID,
		Plan:           r.plan.ID,
		Model:          r.in.Model,
		Service:        r.in.Service,
		ConfigRevision: c.view.Config.Revision,
		Reason:         reason,

		DeadlineMS:    r.deadline.Sub(r.startedAt).Milliseconds(),
		WaitedMS:      c.waited(r).Milliseconds(),
		QuotaDecision: limitsState(r),
		Hint:          r.hintUse,
		Ranked:        r.placement.Ranked(maxRankedEndpoints),
		Trace:         r.trace,
	}
	if o != 0 {
		e.Outcome = o.String()
	}
	if r.target != nil {
		e.Endpoint = r.target.ID
	}
	return e
}

// waited returns the time until the first attempt, or until now if there was none.
func (c *Core) waited(r *request) time.Duration {
	if r.dispatchedAt.IsZero() {
		return c.now.Sub(r.startedAt)
	}
	return r.dispatchedAt.Sub(r.startedAt)
}

func limitsState(r *request) string {
	switch {
	case r.limitsRefused:
		return "refused"
	case r.phase == phaseLimit:
		return "not decided"
	case !r.limitsGranted:
		return "not asked"
	case r.plan.Limits == (fleet.Limits{}):
		return "granted, the plan has none"
	default:
		return "granted"
	}
}

// Explain returns the explanation of a request that is in progress or finished recently.
func (c *Core) Explain(id fleet.RequestID) (Explanation, bool) {
	if r := c.requests[id]; r != nil && !r.finished {
		e := c.explain(r, 0, ReasonNone)
		e.Trace = append([]TraceStep(nil), e.Trace...)
		return e, true
	}
	return c.explanations.find(id)
}

// explanationRing is a ring buffer of the last explanations.
type explanationRing struct {
	items [ExplainedRequests]Explanation
	next  int
}

func (r *explanationRing) add(e Explanation) {
	r.items[r.next] = e
	r.next = (r.next + 1) % ExplainedRequests
}

func (r *explanationRing) find(id fleet.RequestID) (Explanation, bool) {
	for i := range r.items {
		if r.items[i].ID == id {
			return r.items[i], true
		}
	}
	return Explanation{}, false
}
