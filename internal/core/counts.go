package core

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/retry"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Counts maps a label, such as the name of a reason, to its number of occurrences.
type Counts map[string]uint64

// labelledCounters holds the counters that are split by a label.
type labelledCounters struct {
	notRun        counter[Reason]
	unknown       counter[Reason]
	leases        counter[wire.LeaseResult]
	redemptions   counter[wire.RedeemResult]
	retriesDenied counter[retry.Verdict]
}

func newLabelledCounters() labelledCounters {
	return labelledCounters{
		notRun:        counter[Reason]{},
		unknown:       counter[Reason]{},
		leases:        counter[wire.LeaseResult]{},
		redemptions:   counter[wire.RedeemResult]{},
		retriesDenied: counter[retry.Verdict]{},
	}
}

type counterLabel interface {
	comparable
	fmt.Stringer
}

// counter counts occurrences per label. It has one entry per label seen, so K must have few values.
type counter[K counterLabel] map[K]uint64

func (c counter[K]) add(k K) { c[k]++ }

// byLabel returns the counts by the name of their label. Labels with the same name are added up.
func (c counter[K]) byLabel() Counts {
	out := make(Counts, len(c))
	for k, n := range c {
		out[k.String()] += n
	}
	return out
}
