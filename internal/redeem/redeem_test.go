package redeem

import (
	"testing"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/dandelionvane/dandelionvane/internal/wire"
)

// outcome is the actual and the reported outcome of an attempt.
type outcome struct{ ran, notRun, done bool }

// onceModel is the sequential specification of a request that runs at most once. The state is
// whether the request has run. An attempt that ran, or whose caller was told that the request did not
// run, requires that it had not run before. An attempt that returned the stored response requires
// that it had. Every other outcome is allowed in both states.
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
		res := outcome{ran: o.ran, notRun: o.notRun, done: o.result.Code == wire.RedeemDone}
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

// TestAtMostOnce checks random schedules of loss, duplication and delay of messages, process pauses,
// crashes, planned stops and changes of slot owners for double execution and false reports.
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
