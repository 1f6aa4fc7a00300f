package bench

import (
	"testing"
)

const seed = 20261203

func BenchmarkPlacement(b *testing.B) {
	for _, d := range Deployments() {
		for _, s := range Scenarios(d.RequestsPerSecond) {
			for _, p := range Policies() {
				b.Run(d.Name+"/"+s.Name+"/"+p.Name, func(b *testing.B) {
					var r Result
					for b.Loop() {
						r = Run(seed, d, p, s)
					}
					reportResult(b, r)
				})
			}
		}
	}
}

func reportResult(b *testing.B, r Result) {
	sent := float64(max(1, r.Load.Sent))
	b.ReportMetric(100*r.Measures.CacheReuse(), "reuse-%")
	b.ReportMetric(r.Measures.MaxSkew, "skew")
	b.ReportMetric(float64(r.Measures.OverBound), "over-bound")
	b.ReportMetric(100*float64(r.Load.Answered)/sent, "answered-%")
	b.ReportMetric(100*float64(r.Load.NotRun)/sent, "not-run-%")
	b.ReportMetric(100*float64(r.Load.Unknown)/sent, "unknown-%")
	b.ReportMetric(float64(r.EndpointRefusals), "overfull")
	b.ReportMetric(r.MaxControlBytesPerSecond, "max-B/s")
	b.ReportMetric(float64(r.Measures.WaitQuantile(0.95).Milliseconds()), "wait95-ms")
	b.ReportMetric(0, "ns/op")
}
