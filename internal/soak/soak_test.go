package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestShortRun plays one seed briefly. cmd/soak plays more of them, and longer.
func TestShortRun(t *testing.T) {
	const seed = 20261204
	binary := filepath.Join(t.TempDir(), "dandelionvane")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/dandelionvane").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	report, err := Run(t.Context(), Options{Binary: binary, Dir: t.TempDir(), LoopbackSubnet: 90, Seed: seed, Gateways: 3, FaultDuration: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, f := range report.Faults {
		t.Log(f)
	}
	if len(report.Violations) > 0 || report.Answered == 0 {
		t.Errorf("seed %d: %d violations, %d answered", seed, len(report.Violations), report.Answered)
	}
}

// TestLedger: each promise that is broken is told.
func TestLedger(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		sent sent
		ran  int
		key  string // taken away long before
		want int
	}{
		"answered":            {sent{kind: "idempotent", outcome: outcome{status: 200, whole: true}}, 2, "", 0},
		"twice":               {sent{kind: "non-idempotent", outcome: outcome{status: 502, whole: true}}, 2, "", 1},
		"stream twice":        {sent{kind: "streaming", outcome: outcome{status: 200}}, 2, "", 1},
		"untrue refusal":      {sent{kind: "idempotent", outcome: outcome{status: 503, whole: true}}, 1, "", 1},
		"true refusal":        {sent{kind: "idempotent", outcome: outcome{status: 503, whole: true}}, 0, "", 0},
		"wrong answer":        {sent{kind: "idempotent", outcome: outcome{status: 200, whole: true, wrong: "x"}}, 1, "", 1},
		"key taken away":      {sent{kind: "idempotent", key: "k", at: now, outcome: outcome{status: 200, whole: true}}, 1, "k", 1},
		"key, refused":        {sent{kind: "idempotent", key: "k", at: now, outcome: outcome{status: 401, whole: true}}, 0, "k", 0},
		"lost, planned stop":  {sent{kind: "idempotent", planned: true}, 1, "", 1},
		"lost, other trouble": {sent{kind: "idempotent"}, 1, "", 0},
	} {
		l := newLedger()
		l.send("id", tc.sent)
		for range tc.ran {
			l.run("id", false, "")
		}
		if tc.key != "" {
			l.revoked[tc.key] = now.Add(-2 * revocation)
		}
		if got := l.report().Violations; len(got) != tc.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}
