package core

import "github.com/dandelionvane/dandelionvane/internal/admission"

// Stats holds the counters of a core since its start.
type Stats struct {
	Requests      uint64 `json:"requests"`
	Answered      uint64 `json:"answered"`
	NotRun        uint64 `json:"not_run"`
	Unknown       uint64 `json:"unknown"`
	Attempts      uint64 `json:"attempts"` // dispatches, including resumes
	Retries       uint64 `json:"retries"`
	LeaseRequests uint64 `json:"lease_asks"`
	LeaseRefusals uint64 `json:"lease_refusals"`
	PeerMessages  uint64 `json:"peer_messages"`
	Tokens        uint64 `json:"tokens"`
	PromptTokens  uint64 `json:"prompt_tokens"`
	CachedTokens  uint64 `json:"cached_tokens"`

	QuotaGranted uint64 `json:"limits_granted"`
	QuotaRefused uint64 `json:"limits_refused"`

	NotRunByReason  Counts `json:"not_run_by_reason"`
	UnknownByReason Counts `json:"unknown_by_reason"`
	LeaseReplies    Counts `json:"lease_replies"`  // replies of lease owners, by result
	Redemptions     Counts `json:"redemptions"`    // redemptions of tickets and keys, by result
	RetriesDenied   Counts `json:"retries_denied"` // by the exhausted retry budget

	Admission admission.Stats `json:"admission"` // for the endpoints that this router owns
}

// countOutcome counts a finished request by outcome and reason.
func (c *Core) countOutcome(o Outcome, reason Reason) {
	switch o {
	case Answered:
		c.stats.Answered++
	case NotRun:
		c.stats.NotRun++
		c.counts.notRun.add(reason)
	case Unknown:
		c.stats.Unknown++
		c.counts.unknown.add(reason)
	}
}

// Stats returns the current counters.
func (c *Core) Stats() Stats {
	s := c.stats
	s.Admission = c.admission.Stats()
	s.NotRunByReason = c.counts.notRun.byName()
	s.UnknownByReason = c.counts.unknown.byName()
	s.LeaseReplies = c.counts.leases.byName()
	s.Redemptions = c.counts.redemptions.byName()
	s.RetriesDenied = c.counts.retriesDenied.byName()
	return s
}
