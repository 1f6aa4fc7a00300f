package control

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// One gateway of a large fleet sends an endpoint a request every few seconds, so its own results show too late
// that the endpoint fails. Gateways therefore add up their failures. An endpoint is an outlier if the fleet has
// seen many more failures there than at the other endpoints of its service; it is then avoided for a while.
const (
	// failureWindow is the time for which a failure counts.
	failureWindow = 2 * time.Second
	// outlierCheckInterval is the time between two checks for outliers.
	outlierCheckInterval = 200 * time.Millisecond
	// outlierFactor and outlierMinFailures define an outlier: its failures exceed outlierFactor times the
	// mean of the service's other endpoints by at least outlierMinFailures.
	outlierFactor      = 4
	outlierMinFailures = 4
	// outlierAvoidInterval is the mean time for which an outlier is avoided. It doubles up to
	// maxOutlierAvoidInterval with each time that the endpoint is found to be one again within
	// outlierMemory.
	outlierAvoidInterval    = 1500 * time.Millisecond
	maxOutlierAvoidInterval = 6 * time.Second
	outlierMemory           = 10 * time.Second
)

// outlierState is the state of one endpoint as an outlier.
type outlierState struct {
	failures   []boottime.Instant // own failures within failureWindow, oldest first
	detections int                // consecutive
	detectedAt boottime.Instant   // last detection; 0: none
}

func (o *outlierState) recordFailure(now boottime.Instant) {
	o.dropOld(now)
	o.failures = append(o.failures, now)
}

func (o *outlierState) dropOld(now boottime.Instant) {
	for len(o.failures) > 0 && now.Sub(o.failures[0]) >= failureWindow {
		o.failures = o.failures[1:]
	}
}

// ownFailed returns this process's recent failures by endpoint, as sent to peers.
func (s *State) ownFailed(now boottime.Instant) wire.Counts {
	out := wire.Counts{}
	for _, e := range s.endpoints {
		if len(e.outlier.failures) == 0 {
			continue
		}
		e.outlier.dropOld(now)
		if n := len(e.outlier.failures); n > 0 {
			out[e.shortID()] = uint16(n)
		}
	}
	return out
}

// checkOutliers avoids the outliers of all services.
func (s *State) checkOutliers(now boottime.Instant) {
	if now.Sub(s.outliersCheckedAt) < outlierCheckInterval {
		return
	}
	s.outliersCheckedAt = now
	failed := s.mesh.Failed(now, s.ownFailed(now))
	if len(failed) == 0 {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		s.checkService(now, s.services[service], failed)
	}
}

func (s *State) checkService(now boottime.Instant, endpoints []*endpoint, failed wire.Counts) {
	total, usable := 0, 0
	for _, e := range endpoints {
		if s.usable(now, e) {
			total += int(failed[e.shortID()])
			usable++
		}
	}
	if usable < 2 {
		return
	}
	for _, e := range endpoints {
		n := int(failed[e.shortID()])
		othersMean := float64(total-n) / float64(usable-1)
		if s.usable(now, e) && float64(n) >= outlierFactor*othersMean+outlierMinFailures {
			s.avoidOutlier(now, e, n, othersMean)
		}
	}
}

// avoidOutlier avoids an endpoint for a time with jitter, so that not all gateways return to it at once.
func (s *State) avoidOutlier(now boottime.Instant, e *endpoint, failures int, othersMean float64) {
	if now.Before(e.health.avoidUntil) {
		return
	}
	o := &e.outlier
	if o.detectedAt == 0 || now.Sub(o.detectedAt) > outlierMemory {
		o.detections = 0
	}
	interval := s.jitter(min(outlierAvoidInterval<<min(o.detections, 8), maxOutlierAvoidInterval))
	o.detections++
	o.detectedAt = now
	e.health.avoidUntil = now.Add(interval)
	s.log(event.EndpointFailing, "endpoint", e.ID, "fleet_failures", failures, "mean_of_others", othersMean, "avoided_ms", interval.Milliseconds())
}
