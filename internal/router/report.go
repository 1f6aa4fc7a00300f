package router

import (
	"github.com/uber-go/tally/v4"

	"github.com/dandelionvane/dandelionvane/internal/core"
	"github.com/dandelionvane/dandelionvane/internal/peering"
)

// reporter turns snapshots into metrics.
type reporter struct {
	scope tally.Scope
	last  Snapshot
}

func newReporter(scope tally.Scope) *reporter { return &reporter{scope: scope} }

// report is called from one goroutine.
func (r *reporter) report(s Snapshot) {
	r.core(s.Core, r.last.Core)
	r.peering(s.Peering, r.last.Peering)
	r.process(s)
	r.last = s
}

func (r *reporter) add(name string, now, before uint64) {
	if now > before {
		r.scope.Counter(name).Inc(int64(now - before))
	}
}

func (r *reporter) core(now, before core.Stats) {
	r.add("requests", now.Requests, before.Requests)
	r.add("requests_answered", now.Answered, before.Answered)
	r.add("requests_not_run", now.NotRun, before.NotRun)
	r.add("requests_unknown", now.Unknown, before.Unknown)
	r.add("attempts", now.Attempts, before.Attempts)
	r.add("retries", now.Retries, before.Retries)
	r.add("lease_asks", now.LeaseRequests, before.LeaseRequests)
	r.add("lease_refusals", now.LeaseRefusals, before.LeaseRefusals)
	r.add("peer_messages", now.PeerMessages, before.PeerMessages)
	r.add("tokens", now.Tokens, before.Tokens)
	r.add("prompt_tokens", now.PromptTokens, before.PromptTokens)
	r.add("cached_tokens", now.CachedTokens, before.CachedTokens)
	r.add("limits_granted", now.LimitsGranted, before.LimitsGranted)
	r.add("limits_refused", now.LimitsRefused, before.LimitsRefused)
	r.counts("requests_not_run_by_reason", "reason", now.NotRunByReason, before.NotRunByReason)
	r.counts("requests_unknown_by_reason", "reason", now.UnknownByReason, before.UnknownByReason)
	r.counts("lease_replies", "result", now.LeaseReplies, before.LeaseReplies)
	r.counts("redemptions", "result", now.Redemptions, before.Redemptions)
	r.counts("retries_denied", "budget", now.RetriesDenied, before.RetriesDenied)
	r.add("leases_granted", now.Admission.Granted, before.Admission.Granted)
	r.add("leases_queued", now.Admission.Queued, before.Admission.Queued)
	r.add("leases_expired", now.Admission.Expired, before.Admission.Expired)
	r.add("leases_lost", now.Admission.Lost, before.Admission.Lost)
	r.add("leases_displaced", now.Admission.Displaced, before.Admission.Displaced)
	r.add("leases_refused", now.Admission.Refused, before.Admission.Refused)
}

func (r *reporter) peering(now, before peering.Stats) {
	r.add("control_bytes_received", now.BytesIn, before.BytesIn)
	r.add("control_bytes_sent", now.BytesOut, before.BytesOut)
	r.add("control_packets_received", now.PacketsIn, before.PacketsIn)
	r.add("control_packets_sent", now.PacketsOut, before.PacketsOut)
	r.add("peer_dials", now.Dials, before.Dials)
	r.add("peer_connections_silent", now.Unresponsive, before.Unresponsive)
	r.add("peers_refused", now.Refused, before.Refused)
	r.counts("frames_sent", "kind", byName(now.Sent), byName(before.Sent))
	r.counts("frames_received", "kind", byName(now.Received), byName(before.Received))
	r.counts("frames_dropped", "cause", byName(now.Drops), byName(before.Drops))
	r.scope.Gauge("peer_connections").Update(float64(now.Connections))
}

// counts adds what each case of a counter rose by, as a series of its own.
func (r *reporter) counts(name, tag string, now, before core.Counts) {
	for value, n := range now {
		if rise := n - before[value]; rise > 0 {
			r.scope.Tagged(map[string]string{tag: value}).Counter(name).Inc(int64(rise))
		}
	}
}

func (r *reporter) process(s Snapshot) {
	r.scope.Gauge("requests_in_progress").Update(float64(s.RequestsInProgress))
	r.scope.Gauge("request_body_bytes").Update(float64(s.BodyBytes))
	r.scope.Gauge("cpu_seconds").Update(s.CPU.Seconds())
	r.scope.Gauge("resident_bytes").Update(float64(s.RSSBytes))
	if r.last.At.IsZero() {
		return
	}
	seconds := s.At.Sub(r.last.At).Seconds()
	bytes := s.Peering.BytesIn + s.Peering.BytesOut - r.last.Peering.BytesIn - r.last.Peering.BytesOut
	r.scope.Gauge("control_bytes_per_second").Update(float64(bytes) / seconds)
	r.scope.Gauge("cpu_cores").Update((s.CPU - r.last.CPU).Seconds() / seconds)
}
