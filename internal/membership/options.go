package membership

import "time"

// DefaultSuspicionHoldMax bounds how long an instance that flaps stays suspected while it is heard.
const DefaultSuspicionHoldMax = 30 * time.Second

// Options are the timings of failure detection. Zero values select the defaults.
type Options struct {
	BasePeriod        time.Duration // between heartbeats in a small data centre
	BaseSize          int           // instances up to which BasePeriod applies
	PeriodPerPeer     time.Duration // by which each further instance lengthens the period
	ProbeInterval     time.Duration // between heartbeats to an instance in doubt
	SuspectAfter      time.Duration // silence beyond the heartbeat period after which an instance is suspected
	MinSilence        time.Duration // silence from the first failed request on after which an instance is suspected
	SuspicionHoldBase time.Duration // how long an instance that flaps stays suspected, doubled by each flap
	SuspicionHoldMax  time.Duration // bound of that time
	FlapWindow        time.Duration // time without a suspicion after which one flap is forgotten
}

func (o Options) withDefaults() Options {
	setDuration(&o.BasePeriod, 500*time.Millisecond)
	setDuration(&o.PeriodPerPeer, 110*time.Millisecond)
	setDuration(&o.ProbeInterval, 500*time.Millisecond)
	setDuration(&o.SuspectAfter, 2*time.Second)
	setDuration(&o.MinSilence, time.Second)
	setDuration(&o.SuspicionHoldBase, 2*time.Second)
	setDuration(&o.SuspicionHoldMax, DefaultSuspicionHoldMax)
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

// Period returns the time between two heartbeats to the same instance in a data
// centre of n instances. It grows with n, so that a process sends a constant
// number of heartbeats a second.
func (o Options) Period(n int) time.Duration {
	o = o.withDefaults()
	if n <= o.BaseSize {
		return o.BasePeriod
	}
	return o.BasePeriod + time.Duration(n-o.BaseSize)*o.PeriodPerPeer
}
