package gateway

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/buildinfo"
)

// TestDumpAndMetricsNameTheProgram guards against a gateway that does not tell which program it runs.
func TestDumpAndMetricsNameTheProgram(t *testing.T) {
	p, h := startOperatorListener(t)
	p.identifyProgram()
	var dump Dump
	if err := json.Unmarshal(get(h, "/dump").Body.Bytes(), &dump); err != nil {
		t.Fatal(err)
	}
	program := dump.Program
	if program.Digest == "" || program.Digest == buildinfo.Unknown {
		t.Errorf("program %+v, want its digest", program)
	}
	awaitMetrics(t, p, fmt.Sprintf(`gateway_program{commit="%s",digest="%s",dirty="%v",go="%s",version="%s"} 1`, program.Commit, program.Digest, program.Dirty, program.Go, program.Version))
}
