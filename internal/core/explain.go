package core

import (
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

const (
	// ExplainedRequests is the number of finished requests that Explain knows.
	ExplainedRequests = 512

	maxTraceSteps      = 32 // decisions kept of one request
	maxRankedEndpoints = 4  // endpoints named of its rank
)

// Decision is one step on a request's way.
type Decision struct {
	AfterMS int64  `json:"after_ms"` // since the request arrived
	Step    string `json:"step"`
	Detail  string `json:"detail"`
}

// Explanation says why a request went where it did, or why it was refused.
type Explanation struct {
	ID        fleet.RequestID   `json:"request_id"`
	Workspace fleet.WorkspaceID `json:"workspace"`
	Plan      fleet.PlanID      `json:"plan"`
	Model     fleet.ModelID     `json:"model,omitempty"`
	Service   fleet.ServiceID   `json:"service,omitempty"`
	Config    fleet.Revision    `json:"configuration_revision"`
	Outcome   string            `json:"outcome"` // "" while in progress
	Reason    Reason            `json:"reason,omitempty"`
	Endpoint  fleet.EndpointID  `json:"endpoint,omitempty"` // of the last attempt

	DeadlineMS int64              `json:"deadline_ms"` // since the request arrived
	WaitedMS   int64              `json:"waited_ms"`   // until the first attempt, or without one until the end
	Limits     string             `json:"limits"`      // what the limits of the plan said
	Hint       string             `json:"hint"`        // whether the placement hint was used, or why not
	Ranked     []fleet.EndpointID `json:"ranked"`      // best endpoints for the chat, without the hint
	Decisions  []Decision         `json:"decisions"`
}

func (c *Core) addTraceStep(r *request, step, detail string) {
	if len(r.trace) >= maxTraceSteps {
		return
	}
	after := c.now.Sub(r.startedAt) / time.Millisecond
	r.trace = append(r.trace, Decision{AfterMS: int64(after), Step: step, Detail: detail})
}

func (c *Core) explain(r *request, o Outcome, why Reason) Explanation {
	e := Explanation{
		ID:        r.in.ID,
		Workspace: r.ws.ID,
		Plan:      r.plan.ID,
		Model:     r.in.Model,
		Service:   r.in.Service,
		Config:    c.view.Config.Revision,
		Reason:    why,

		DeadlineMS: r.deadline.Sub(r.startedAt).Milliseconds(),
		WaitedMS:   c.waited(r).Milliseconds(),
		Limits:     limitsState(r),
		Hint:       r.hintUse,
		Ranked:     r.placement.Ranked(maxRankedEndpoints),
		Decisions:  r.trace,
	}
	if o != 0 {
		e.Outcome = o.String()
	}
	if r.target != nil {
		e.Endpoint = r.target.ID
	}
	return e
}

// waited returns how long the request has waited, or waited, for its first attempt.
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

// Explain returns the way of a request that is in progress or finished recently.
func (c *Core) Explain(id fleet.RequestID) (Explanation, bool) {
	if r := c.requests[id]; r != nil && !r.finished {
		e := c.explain(r, 0, ReasonNone)
		e.Decisions = append([]Decision(nil), e.Decisions...)
		return e, true
	}
	return c.explanations.find(id)
}

// explanationRing keeps the last explanations.
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
