package core

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/retry"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Counts maps the stable name of a case to its number of occurrences.
type Counts map[string]uint64

// caseCounters holds the counters that are split by case. Each has a fixed set of cases.
type caseCounters struct {
	notRun        counter[Reason]
	unknown       counter[Reason]
	leases        counter[wire.LeaseResult]
	redemptions   counter[wire.RedeemResult]
	retriesDenied counter[retry.Verdict]
}

func newCaseCounters() caseCounters {
	return caseCounters{
		notRun:        counter[Reason]{},
		unknown:       counter[Reason]{},
		leases:        counter[wire.LeaseResult]{},
		redemptions:   counter[wire.RedeemResult]{},
		retriesDenied: counter[retry.Verdict]{},
	}
}

type caseKey interface {
	comparable
	fmt.Stringer
}

// counter counts occurrences per case. Its size is bounded by the number of values of K.
type counter[K caseKey] map[K]uint64

func (c counter[K]) add(k K) { c[k]++ }

// byName returns the counts keyed by name. Values with the same name are added up.
func (c counter[K]) byName() Counts {
	out := make(Counts, len(c))
	for k, n := range c {
		out[k.String()] += n
	}
	return out
}
