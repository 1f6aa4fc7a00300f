package contention

import (
	"fmt"
	"testing"
	"time"
)

func engines(rate func(time.Duration) float64) *simulation {
	return &simulation{gateways: 80, endpoints: 12, slots: 16, queue: 48, hold: 600 * time.Millisecond,
		goal: 250 * time.Millisecond, rate: rate, next: ordinaryRequest}
}

func ordinaryRequest(s *simulation) Request {
	return Request{WorkspacePriority: 1, HasWorkspacePriority: true, Workspace: uint32(s.rng.IntN(100)),
		RoutePriority: s.rng.IntN(3), TimeLeft: 6 * time.Second, UsualTimeLimit: 6 * time.Second, Goal: s.goal}
}

const onset = 3 * time.Second

func surge(demand float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= onset && at < onset+10*time.Second {
			return demand
		}
		return 0.6
	}
}

func TestTrace(t *testing.T) {
	for _, hold := range []time.Duration{15, 100, 600, 2000} {
		for _, demand := range []float64{1.1, 1.6, 3, 5} {
			s := engines(surge(demand))
			s.hold = hold * time.Millisecond
			if hold == 15 {
				s.endpoints, s.slots, s.queue, s.goal = 5, 6, 24, 120*time.Millisecond
			}
			busy := s.run(1, 16*time.Second)
			_ = 0
			fmt.Println("hold", hold, "demand", demand)
			for from := 2500 * time.Millisecond; from < 15*time.Second; from += 500 * time.Millisecond {
				to := from + 500*time.Millisecond
				b, n := 0.0, 0
				for i := from / simStep; i < to/simStep; i++ {
					b += busy[i]
					n++
				}
				w, m, adm, all, ref := 0.0, 0, 0, 0, 0
				for _, r := range s.results {
					if r.at >= from && r.at < to {
						all++
						if r.d.Admitted {
							adm++
						}
						if r.refused {
							ref++
						}
						if r.started >= 0 {
							w += (r.started - r.at).Seconds()
							m++
						}
					}
				}
				fmt.Printf("%5.1f busy %.2f wait %.3f admitted %.2f x %.2f refused %d c0 %.2f d %.2f\n", from.Seconds(), b/float64(n), w/float64(m), float64(adm)/float64(all), float64(adm)/(float64(s.endpoints*s.slots)/s.hold.Seconds()/2), ref, s.controllers[0].loop.share, s.controllers[0].loop.demand)
			}
		}
	}
}
