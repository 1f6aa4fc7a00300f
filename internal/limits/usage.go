package limits

import (
	"math"
	"time"
)

// usageWindow is the time constant of the moving average in usage.
const usageWindow = 2 * time.Second

// usage is an exponential moving average of rates per second.
type usage struct{ rate amounts }

func (u *usage) decay(elapsed time.Duration) {
	f := math.Exp(-elapsed.Seconds() / usageWindow.Seconds())
	u.rate.requests *= f
	u.rate.tokens *= f
	u.rate.slots *= f
}

func (u *usage) add(x amounts) {
	w := usageWindow.Seconds()
	u.rate.requests += x.requests / w
	u.rate.tokens += x.tokens / w
	u.rate.slots += x.slots / w
}
