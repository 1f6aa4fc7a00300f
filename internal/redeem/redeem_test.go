package redeem

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// attemptOutcome is the actual and the reported outcome of an attempt.
type attemptOutcome struct{ ran, notRun, done bool }

// onceModel is the sequential specification of a request that runs at most once. The state is whether
// the request has run. An attempt with ran is valid only in state false and changes it to true; notRun is
// valid only in state false, done only in state true. Every other outcome is valid in both states.
var onceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		ran, o := state.(bool), output.(attemptOutcome)
		switch {
		case o.ran:
			return !ran, true
		case o.notRun:
			return !ran, ran
		case o.done:
			return ran, ran
		default:
			return true, ran
		}
	},
}

// history returns the job's attempts as operations of onceModel.
func (j *job) history(sim *simulation) []porcupine.Operation {
	var out []porcupine.Operation
	for i, a := range j.attempts {
		ret := a.ret
		if !a.finished {
			ret = sim.now
		}
		res := attemptOutcome{ran: a.ran, notRun: a.notRun, done: a.result.Code == wire.RedeemDone}
		out = append(out, porcupine.Operation{ClientId: i, Call: a.call.UnixNano(), Output: res, Return: ret.UnixNano()})
	}
	return out
}

// checkSimulation fails if an invariant was violated or a job's history is not linearizable.
func checkSimulation(t interface{ Fatalf(string, ...any) }, sim *simulation) {
	if len(sim.violations) > 0 {
		t.Fatalf("%d violations, first: %s", len(sim.violations), sim.violations[0])
	}
	for _, j := range sim.jobs {
		if !porcupine.CheckOperations(onceModel, j.history(sim)) {
			t.Fatalf("%v is not linearizable", j)
		}
	}
}

// TestAtMostOnce checks that no request runs twice, and that no wrong outcome is reported to a caller, in random
// schedules of loss, duplication and delay of messages, process pauses, crashes, planned stops and
// removals of slot owners.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		percent := func(name string, most int) int { return rapid.IntRange(0, most).Draw(rt, name) }
		f := faults{
			loss:        percent("loss", 30),
			duplicate:   percent("duplicate", 50),
			late:        percent("late", 20),
			pause:       percent("freeze", 30),
			crash:       percent("crash", 8),
			stop:        percent("stop", 10),
			removeOwner: percent("moveHome", 10),

			reportGone: percent("reportGone", 30),
		}
		checkSimulation(rt, simulate(rapid.Uint64().Draw(rt, "seed"), f))
	})
}
