package membership

import "time"

// DefaultHoldDownMax is the default maximum time for which a flapping instance stays
// suspected although its messages arrive.
const DefaultHoldDownMax = 30 * time.Second

// Options are the timings of failure detection. Zero values select the defaults.
type Options struct {
	BasePeriod    time.Duration // heartbeat period in a small data centre
	BaseSize      int           // number of instances up to which BasePeriod applies
	PeriodPerPeer time.Duration // increase of the period for each further instance
	ProbePeriod   time.Duration // heartbeat period to an instance that is probed
	SuspectAfter  time.Duration // silence beyond the heartbeat period before an instance is suspected
	MinSilence    time.Duration // silence since the first timed-out request before an instance is suspected
	HoldDownBase  time.Duration // minimum suspicion of a flapping instance, doubled by each flap
	HoldDownMax   time.Duration // upper bound of that time
	FlapWindow    time.Duration // time without a suspicion after which one flap is no longer counted
}

func (o Options) withDefaults() Options {
	setDuration(&o.BasePeriod, 500*time.Millisecond)
	setDuration(&o.PeriodPerPeer, 110*time.Millisecond)
	setDuration(&o.ProbePeriod, 500*time.Millisecond)
	setDuration(&o.SuspectAfter, 2*time.Second)
	setDuration(&o.MinSilence, time.Second)
	setDuration(&o.HoldDownBase, 2*time.Second)
	setDuration(&o.HoldDownMax, DefaultHoldDownMax)
	setDuration(&o.FlapWindow, time.Minute)
	if o.BaseSize == 0 {
		o.BaseSize = 9
	}
	return o
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// Period returns the time between two heartbeats to the same instance in a data centre of n
// instances. It grows with n, so that the heartbeats per second of a process stay bounded.
func (o Options) Period(n int) time.Duration {
	o = o.withDefaults()
	if n <= o.BaseSize {
		return o.BasePeriod
	}
	return o.BasePeriod + time.Duration(n-o.BaseSize)*o.PeriodPerPeer
}
