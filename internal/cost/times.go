package cost

import (
	"math"
	"time"
)

const (
	// Reported speeds outside of the believed range are ignored. Those within it are clamped, so that
	// a false report cannot exclude an endpoint.
	minBelievedSpeed, maxBelievedSpeed = 0.1, 100
	minSpeed, maxSpeed                 = 0.25, 10
	// speedHalfLife is the time in which the deviation of a reported speed from the usual halves.
	// Speeds change about every half second.
	speedHalfLife = 400 * time.Millisecond
	// remoteDistance is a round trip to an endpoint in another data centre of the region. It is an
	// assumption; it is small beside any latency goal and decides between otherwise equal endpoints.
	remoteDistance = 2 * time.Millisecond
	// maxLoad is the largest load of one endpoint that is believed; a larger one is ignored.
	maxLoad = 10_000
)

// Candidate is an endpoint at which a request may be placed.
type Candidate struct {
	Rank        int           // position in the rendezvous order of the affinity key; 0 is the first
	Local       bool          // in the gateway's own data centre
	Speed       float64       // latest report: 1 is usual, 2.5 is 2.5 times as long; 0: none
	SpeedAge    time.Duration // of the report
	PendingRead time.Duration // estimated prefill time outstanding
	Load, Slots int           // requests at the endpoint, running and waiting; requests that it runs at a time
	// MayHaveCached is set if the endpoint has the shared prefix cached unless it was evicted: the first
	// of the order if it has been running for a while, or one to which the prefix was sent recently.
	MayHaveCached bool
}

// Times are the estimated times of a request at one endpoint.
type Times struct {
	Wait     time.Duration // for other prompts to be prefilled, or for a slot
	Read     time.Duration // for the request's own prompt, or for the response of a plain service
	Distance time.Duration // network
	Total    time.Duration // Wait + Read + Distance: the time to the first event
	Pause    time.Duration // delay of each running stream by the prefill of this prompt
	Harm     time.Duration // Pause summed over the running streams
	Learned  bool          // from observations; otherwise Choose does not use them
}

// Times returns the estimated times of a request at an endpoint.
func (m *Model) Times(r Request, c Candidate) Times { return m.Estimate(r).At(c) }

// At returns the estimated times at an endpoint. It saves repeated estimates when there are many
// candidates.
func (e Estimate) At(c Candidate) Times {
	speed := fadedSpeed(plausibleSpeed(c.Speed), c.SpeedAge)
	if c.Load < 0 || c.Load > maxLoad {
		c.Load = 0
	}
	t := Times{Learned: e.Learned}
	read := e.ReadUncached
	if c.MayHaveCached {
		read = e.ReadCached
		if c.Rank > 0 { // evicted as likely as not: the prefix is not regularly sent there
			read += (e.ReadUncached - e.ReadCached) / 2
		}
	}
	t.Read = scale(read, speed)
	if c.Slots > 0 && c.Load >= c.Slots {
		// Load - Slots + 1 requests must end before this one gets a slot.
		t.Wait = scale(e.serviceTime, speed*float64(c.Load-c.Slots+1)/float64(c.Slots))
	}
	if e.prefills {
		if c.PendingRead > 0 && c.PendingRead <= maxTime {
			t.Wait = max(t.Wait, scale(c.PendingRead, speed)) // the prefills of waiting requests are part of both
		}
		running := c.Load
		if c.Slots > 0 {
			running = min(running, c.Slots)
		}
		t.Pause = scale(max(read-e.fixed, 0), speed)
		t.Harm = t.Pause * time.Duration(running)
	}
	if !c.Local {
		t.Distance = remoteDistance
	}
	t.Total = t.Wait + t.Read + t.Distance
	return t
}

func scale(d time.Duration, factor float64) time.Duration {
	return toDuration(d.Seconds() * factor)
}

// plausibleSpeed returns a speed that may be used: 1 if it is unknown or absurd.
func plausibleSpeed(speed float64) float64 {
	if !(speed >= minBelievedSpeed && speed <= maxBelievedSpeed) {
		return 1
	}
	return min(max(speed, minSpeed), maxSpeed)
}

// fadedSpeed returns the speed to expect at an age of its report.
func fadedSpeed(speed float64, age time.Duration) float64 {
	if speed == 1 {
		return 1
	}
	return 1 + (speed-1)*math.Exp2(-float64(max(age, 0))/float64(speedHalfLife))
}

// ExpectedSpeed returns the speed to expect of an endpoint that reported a speed some time ago.
func ExpectedSpeed(reported float64, age time.Duration) float64 {
	return fadedSpeed(plausibleSpeed(reported), age)
}

// meanSpeed returns the mean of the speed to expect between two ages of a report.
func meanSpeed(speed float64, from, to time.Duration) float64 {
	if speed == 1 || to <= from {
		return fadedSpeed(speed, from)
	}
	decay := math.Ln2 / float64(speedHalfLife)
	integral := (math.Exp(-decay*float64(from)) - math.Exp(-decay*float64(to))) / decay
	return 1 + (speed-1)*integral/float64(to-from)
}
