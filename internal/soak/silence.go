package soak

import "time"

const (
	minSilence   = 500 * time.Millisecond
	maxSilence   = 2 * time.Second
	silences     = 3                      // of a series
	silencePause = 200 * time.Millisecond // between two silences of a series
	// silenceBurstSpread is longer than a stream, so that a silence meets requests before and within their responses.
	silenceBurstSpread = 200 * time.Millisecond
)

// silentEndpoint makes an endpoint silent, several times in series.
func (r *run) silentEndpoint(time.Duration) {
	e := r.pickEndpoint()
	r.logFault("%s of %s: silences in series", e.id, e.kind)
	r.silence([]*endpoint{e})
}

// silentService makes all endpoints of a service silent at once, several times in series.
func (r *run) silentService(time.Duration) {
	service := r.pickRoute()
	r.logFault("all endpoints of %s: silences in series", service)
	r.silence(r.endpointsOf(service))
}

// silentServiceMetByBursts makes all endpoints of a service silent, while bursts of requests for it run at several gateways.
func (r *run) silentServiceMetByBursts(time.Duration) {
	service := r.pickRoute()
	r.logFault("all endpoints of %s: silences in series, met by bursts", service)
	for _, g := range r.pickBurstGateways() {
		r.runAfter(0, func() {
			b := r.openBurst(g, service)
			defer b.close()
			for range silences {
				b.send(silenceBurstSpread)
			}
		})
	}
	r.silence(r.endpointsOf(service))
}

func (r *run) silence(endpoints []*endpoint) {
	var lengths [silences]time.Duration
	for i := range lengths {
		lengths[i] = minSilence + time.Duration(r.rng.Int64N(int64(maxSilence-minSilence)))
	}
	r.runAfter(0, func() {
		for _, d := range lengths {
			for _, e := range endpoints {
				e.setSilent(d)
			}
			time.Sleep(d + silencePause)
		}
	})
}

// endlessModes are the modes of endpoints that send bytes without end.
var endlessModes = []mode{modeEndlessHead, modeEndlessBody, modeEndlessComments}

func (r *run) endlessEndpoint(d time.Duration) {
	r.misbehave(r.pickEndpoint(), endlessModes[r.rng.IntN(len(endlessModes))], d)
}
