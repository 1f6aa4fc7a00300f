package core

import "github.com/dandelionvane/dandelionvane/internal/admission"

// Stats counts what a core did since it started.
type Stats struct {
	Requests      uint64 `json:"requests"`
	Answered      uint64 `json:"answered"`
	NotRun        uint64 `json:"not_run"`
	Unknown       uint64 `json:"unknown"`
	Attempts      uint64 `json:"attempts"` // dispatches, resumes included
	Retries       uint64 `json:"retries"`
	LeaseRequests uint64 `json:"lease_asks"`
	LeaseRefusals uint64 `json:"lease_refusals"`
	PeerMessages  uint64 `json:"peer_messages"`
	Tokens        uint64 `json:"tokens"`
	PromptTokens  uint64 `json:"prompt_tokens"`
	CachedTokens  uint64 `json:"cached_tokens"`

	LimitsGranted uint64 `json:"limits_granted"`
	LimitsRefused uint64 `json:"limits_refused"`

	NotRunByReason  Counts `json:"not_run_by_reason"`
	UnknownByReason Counts `json:"unknown_by_reason"`
	LeaseReplies    Counts `json:"lease_replies"`  // of owners to this router, by result
	Redemptions     Counts `json:"redemptions"`    // of tickets and keys, by result
	RetriesDenied   Counts `json:"retries_denied"` // by the budget that was used up

	Admission admission.Stats `json:"admission"` // of endpoints that this router owns
}

// countOutcome counts how a request ended.
func (c *Core) countOutcome(o Outcome, why Reason) {
	switch o {
	case Answered:
		c.stats.Answered++
	case NotRun:
		c.stats.NotRun++
		c.counts.notRun.add(why)
	case Unknown:
		c.stats.Unknown++
		c.counts.unknown.add(why)
	}
}

// Stats returns the counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Admission = c.admit.Stats()
	s.NotRunByReason = c.counts.notRun.named()
	s.UnknownByReason = c.counts.unknown.named()
	s.LeaseReplies = c.counts.leases.named()
	s.Redemptions = c.counts.redemptions.named()
	s.RetriesDenied = c.counts.retriesDenied.named()
	return s
}
