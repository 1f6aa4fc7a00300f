package contention

import (
	"math"
	"slices"
	"time"
)

// maxUsual bounds the workspaces whose usual rates are known to a controller.
const maxUsual = 256

// usualRates holds the rates of the workspaces' requests at this gateway, as averages over the last minutes without
// the time of queueing.
type usualRates struct {
	elapsed time.Duration // without the time of queueing
	entries []usualRate
	index   map[uint32]int // of entries, by workspace
}

// usualRate is the exponentially decayed number of a workspace's requests.
type usualRate struct {
	workspace uint32
	count     float64
	at, since time.Duration // of the last and the first request
}

// decayed returns the number of requests as of now.
func (r *usualRate) decayed(now time.Duration, opts *Options) float64 {
	return r.count * math.Exp(-float64(now-r.at)/float64(opts.UsualTime))
}

// count records a request of a workspace. If there are too many workspaces, the one with the fewest requests is forgotten.
func (u *usualRates) count(workspace uint32, opts *Options) {
	i, found := u.index[workspace]
	switch {
	case found:
		e := &u.entries[i]
		e.count, e.at = e.decayed(u.elapsed, opts)+1, u.elapsed
		return
	case len(u.entries) < maxUsual:
		i = len(u.entries)
		u.entries = append(u.entries, usualRate{})
	default:
		i = 0
		least := math.Inf(1)
		for j := range u.entries {
			if n := u.entries[j].decayed(u.elapsed, opts); n < least {
				i, least = j, n
			}
		}
		delete(u.index, u.entries[i].workspace)
	}
	if u.index == nil {
		u.index = map[uint32]int{}
	}
	u.index[workspace] = i
	u.entries[i] = usualRate{workspace: workspace, count: 1, at: u.elapsed, since: u.elapsed}
}

// known reports whether the time of observation is sufficient for usual rates.
func (u *usualRates) known(opts *Options) bool {
	return u.elapsed >= opts.MinUsualTime && len(u.entries) > 0
}

// rate returns the usual rate of a workspace in requests per second, a negative number if it is not known.
func (u *usualRates) rate(workspace uint32, opts *Options) float64 {
	i, found := u.index[workspace]
	if !found || !u.known(opts) || u.elapsed-u.entries[i].since < opts.MinUsualTime {
		return -1
	}
	return u.entries[i].rate(u.elapsed, opts)
}

// rate returns the average over the time constant, or over the time of observation if that is shorter.
func (r *usualRate) rate(now time.Duration, opts *Options) float64 {
	observed := -math.Expm1(-float64(now) / float64(opts.UsualTime))
	return r.decayed(now, opts) / (opts.UsualTime.Seconds() * observed)
}

// median returns the median of the known rates, 1 without any.
func (u *usualRates) median(opts *Options) float64 {
	var rates []float64
	if u.known(opts) {
		for i := range u.entries {
			if e := &u.entries[i]; u.elapsed-e.since >= opts.MinUsualTime {
				rates = append(rates, e.rate(u.elapsed, opts))
			}
		}
	}
	if len(rates) == 0 {
		return 1
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}
