package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestShortRun runs one seed for a few seconds. cmd/soak runs more seeds, and for longer.
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

// TestLedger checks that the ledger reports each kind of violation and nothing else.
func TestLedger(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		request    callerRecord
		executions int
		key        string // revoked long before the request
		want       int
	}{
		"answered":                 {callerRecord{kind: "idempotent", response: response{status: 200, complete: true}}, 2, "", 0},
		"twice":                    {callerRecord{kind: "non-idempotent", response: response{status: 502, complete: true}}, 2, "", 1},
		"stream executed twice":    {callerRecord{kind: "streaming", response: response{status: 200}}, 2, "", 1},
		"refused but executed":     {callerRecord{kind: "idempotent", response: response{status: 503, complete: true}}, 1, "", 1},
		"refused, not executed":    {callerRecord{kind: "idempotent", response: response{status: 503, complete: true}}, 0, "", 0},
		"wrong response":           {callerRecord{kind: "idempotent", response: response{status: 200, complete: true, violation: "x"}}, 1, "", 1},
		"revoked key":              {callerRecord{kind: "idempotent", key: "k", sentAt: now, response: response{status: 200, complete: true}}, 1, "k", 1},
		"revoked key, refused":     {callerRecord{kind: "idempotent", key: "k", sentAt: now, response: response{status: 401, complete: true}}, 0, "k", 0},
		"no response, undisturbed": {callerRecord{kind: "idempotent", gatewayUndisturbed: true}, 1, "", 1},
		"no response, disturbed":   {callerRecord{kind: "idempotent"}, 1, "", 0},
	} {
		l := newLedger()
		l.recordRequest("id", tc.request)
		for range tc.executions {
			l.recordExecution("id", false, "")
		}
		if tc.key != "" {
			l.revoked[tc.key] = now.Add(-2 * keyRevocationDelay)
		}
		if got := l.report().Violations; len(got) != tc.want {
			t.Errorf("%s: %q", name, got)
		}
	}
}
