package limits

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of rateAverage.
const rateTimeConstant = 2 * time.Second

// rateAverage is an exponentially weighted moving average of rates per second.
type rateAverage struct{ rate amounts }

func (u *rateAverage) decay(elapsed time.Duration) {
	f := math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	u.rate.requests *= f
	u.rate.tokens *= f
	u.rate.slots *= f
}

func (u *rateAverage) add(x amounts) {
	w := rateTimeConstant.Seconds()
	u.rate.requests += x.requests / w
	u.rate.tokens += x.tokens / w
	u.rate.slots += x.slots / w
}
