package core

import (
	"fmt"

	"github.com/dandelionvane/dandelionvane/internal/retry"
	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// Counts maps the stable name of a case to how often it occurred.
type Counts map[string]uint64

// caseCounters holds the counters of cases. Each has a fixed set of cases.
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

// counter counts cases. Its memory is bounded by the values of K.
type counter[K caseKey] map[K]uint64

func (c counter[K]) add(k K) { c[k]++ }

// byName returns a copy by name. Values without a name of their own share one.
func (c counter[K]) byName() Counts {
	out := make(Counts, len(c))
	for k, n := range c {
		out[k.String()] += n
	}
	return out
}
