package router

import (
	"github.com/uber-go/tally/v4"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/peering"
)

// reporter updates metrics from successive snapshots.
type reporter struct {
	scope    tally.Scope
	previous Snapshot
}

func newReporter(scope tally.Scope) *reporter { return &reporter{scope: scope} }

// report updates the metrics with a new snapshot. It must be called from one goroutine.
func (r *reporter) report(s Snapshot) {
	r.reportCore(s.Core, r.previous.Core)
	r.reportPeering(s.Peering, r.previous.Peering)
	r.reportProcess(s)
	r.previous = s
}

func (r *reporter) addIncrease(name string, current, previous uint64) {
	if current > previous {
		r.scope.Counter(name).Inc(int64(current - previous))
	}
}

func (r *reporter) reportCore(current, previous core.Stats) {
	r.addIncrease("requests", current.Requests, previous.Requests)
	r.addIncrease("requests_answered", current.Answered, previous.Answered)
	r.addIncrease("requests_not_run", current.NotRun, previous.NotRun)
	r.addIncrease("requests_unknown", current.Unknown, previous.Unknown)
	r.addIncrease("attempts", current.Attempts, previous.Attempts)
	r.addIncrease("retries", current.Retries, previous.Retries)
	r.addIncrease("lease_asks", current.LeaseRequests, previous.LeaseRequests)
	r.addIncrease("lease_refusals", current.LeaseRefusals, previous.LeaseRefusals)
	r.addIncrease("peer_messages", current.PeerMessages, previous.PeerMessages)
	r.addIncrease("tokens", current.Tokens, previous.Tokens)
	r.addIncrease("prompt_tokens", current.PromptTokens, previous.PromptTokens)
	r.addIncrease("cached_tokens", current.CachedTokens, previous.CachedTokens)
	r.addIncrease("limits_granted", current.QuotaGranted, previous.QuotaGranted)
	r.addIncrease("limits_refused", current.QuotaRefused, previous.QuotaRefused)
	r.addCountIncreases("requests_not_run_by_reason", "reason", current.NotRunByReason, previous.NotRunByReason)
	r.addCountIncreases("requests_unknown_by_reason", "reason", current.UnknownByReason, previous.UnknownByReason)
	r.addCountIncreases("lease_replies", "result", current.LeaseReplies, previous.LeaseReplies)
	r.addCountIncreases("redemptions", "result", current.Redemptions, previous.Redemptions)
	r.addCountIncreases("retries_denied", "budget", current.RetriesDenied, previous.RetriesDenied)
	r.addIncrease("leases_granted", current.Admission.Granted, previous.Admission.Granted)
	r.addIncrease("leases_queued", current.Admission.Queued, previous.Admission.Queued)
	r.addIncrease("leases_expired", current.Admission.Expired, previous.Admission.Expired)
	r.addIncrease("leases_lost", current.Admission.Lost, previous.Admission.Lost)
	r.addIncrease("leases_displaced", current.Admission.Displaced, previous.Admission.Displaced)
	r.addIncrease("leases_refused", current.Admission.Refused, previous.Admission.Refused)
}

func (r *reporter) reportPeering(current, previous peering.Stats) {
	r.addIncrease("control_bytes_received", current.BytesIn, previous.BytesIn)
	r.addIncrease("control_bytes_sent", current.BytesOut, previous.BytesOut)
	r.addIncrease("control_packets_received", current.PacketsIn, previous.PacketsIn)
	r.addIncrease("control_packets_sent", current.PacketsOut, previous.PacketsOut)
	r.addIncrease("peer_dials", current.Dials, previous.Dials)
	r.addIncrease("peer_connections_silent", current.Unresponsive, previous.Unresponsive)
	r.addIncrease("peers_refused", current.Refused, previous.Refused)
	r.addCountIncreases("frames_sent", "kind", countsByName(current.Sent), countsByName(previous.Sent))
	r.addCountIncreases("frames_received", "kind", countsByName(current.Received), countsByName(previous.Received))
	r.addCountIncreases("frames_dropped", "cause", countsByName(current.Drops), countsByName(previous.Drops))
	r.scope.Gauge("peer_connections").Update(float64(current.Connections))
}

// addCountIncreases adds the increase of each entry to its own series, tagged with the entry's name.
func (r *reporter) addCountIncreases(name, tag string, current, previous core.Counts) {
	for value, n := range current {
		if increase := n - previous[value]; increase > 0 {
			r.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(int64(increase))
		}
	}
}

func (r *reporter) reportProcess(s Snapshot) {
	r.scope.Gauge("requests_in_progress").Update(float64(s.RequestsInProgress))
	r.scope.Gauge("request_body_bytes").Update(float64(s.BodyBytes))
	r.scope.Gauge("cpu_seconds").Update(s.CPU.Seconds())
	r.scope.Gauge("resident_bytes").Update(float64(s.RSSBytes))
	if r.previous.At.IsZero() {
		return
	}
	seconds := s.At.Sub(r.previous.At).Seconds()
	bytes := s.Peering.BytesIn + s.Peering.BytesOut - r.previous.Peering.BytesIn - r.previous.Peering.BytesOut
	r.scope.Gauge("control_bytes_per_second").Update(float64(bytes) / seconds)
	r.scope.Gauge("cpu_cores").Update((s.CPU - r.previous.CPU).Seconds() / seconds)
}
