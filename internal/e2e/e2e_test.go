package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var binDir string // directory of the programs, which are built once for all scripts

func TestMain(m *testing.M) {
	code, err := buildAndRun(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

func buildAndRun(m *testing.M) (int, error) {
	dir, err := os.MkdirTemp("", "dandelionvane-e2e-")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/dandelionvane", "../../cmd/standins")
	if out, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build: %w\n%s", err, out)
	}
	return m.Run(), nil
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: setup, Cmds: commands})
}
