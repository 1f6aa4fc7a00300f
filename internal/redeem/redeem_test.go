package redeem

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// outcome is what an attempt did and what its caller was told.
type outcome struct{ ran, notRun, done bool }

// onceModel is a register that runs at most once. Its state tells whether it ran.
// An attempt that ran needs a register that did not run; one whose caller was told
// that it did not run, too, and one that was given the answer, one that did.
// Every other outcome makes no claim.
var onceModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		ran, o := state.(bool), output.(outcome)
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

func (j *job) history(sim *simulation) []porcupine.Operation {
	var out []porcupine.Operation
	for i, o := range j.ops {
		ret := o.ret
		if !o.finished {
			ret = sim.now
		}
		res := outcome{ran: o.ran, notRun: o.notRun, done: o.result.Result == wire.RedeemDone}
		out = append(out, porcupine.Operation{ClientId: i, Call: o.call.UnixNano(), Output: res, Return: ret.UnixNano()})
	}
	return out
}

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

// TestAtMostOnce checks random schedules of loss, duplication, delay, freezes,
// crashes, planned stops and changes of homes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		percent := func(name string, most int) int { return rapid.IntRange(0, most).Draw(rt, name) }
		f := faults{
			loss:      percent("loss", 30),
			duplicate: percent("duplicate", 50),
			late:      percent("late", 20),
			freeze:    percent("freeze", 30),
			crash:     percent("crash", 8),
			stop:      percent("stop", 10),
			moveHome:  percent("moveHome", 10),

			reportGone: percent("reportGone", 30),
		}
		checkSimulation(rt, simulate(rapid.Uint64().Draw(rt, "seed"), f))
	})
}
