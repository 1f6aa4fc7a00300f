package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionvane/dandelionvane/internal/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"dandelionvane": func() {
		os.Exit(Run(context.Background(), Env{Args: os.Args[1:], Stdout: os.Stdout, Stderr: os.Stderr, Router: fakeRouter}))
	}})
}

func fakeRouter(_ context.Context, s *settings.Settings) error {
	if s.Listen.Callers == "127.0.0.1:1" {
		return errors.New("listen on 127.0.0.1:1: denied")
	}
	fmt.Println("router of", s.Instance.ID, "in", s.Instance.DataCentre)
	return nil
}

const stateDump = `{"instance": "a-1", "revisions": {"configuration": 7, "endpoints": 12345678901234567},
	"suspects": ["b-1", "b-2"], "nothing": null,
	"endpoints": [{"id": "e1", "load": 3}, {"id": "e22", "load": 12, "cold": true, "held": [{"lease": 9}]}]}`

// serveOperator is a fake operator listener of a router that keeps one request, r1.
func serveOperator(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodDelete {
		serveLift(w, r)
		return
	}
	switch r.URL.Path {
	case "/blocked":
		fmt.Fprint(w, `{"requests_blocked": 1, "blocked_requests": [{"fingerprint": "00000000000000a1", "decision": "blocked", "ends": [{"endpoint": "e1"}]}]}`)
	case "/dump":
		fmt.Fprint(w, stateDump)
	case "/explain/r1":
		fmt.Fprint(w, `{"request": "r1", "decisions": [{"rule": "bounded_load", "endpoint": "e1"}]}`)
	case "/explain/broken":
		fmt.Fprint(w, `{"request": `)
	case "/explain/twice":
		fmt.Fprint(w, `{} {}`)
	case "/explain/busy":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/explain/old":
		http.Error(w, "this router keeps its last 512 finished requests", http.StatusNotFound)
	default:
		http.NotFound(w, r)
	}
}

// serveLift is the part of serveOperator that lifts blocks: of one fingerprint.
func serveLift(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/blocked/00000000000000a1" {
		http.Error(w, "nothing is known against it", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func TestScripts(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(serveOperator))
	t.Cleanup(srv.Close) // the scripts run in parallel, after this function has returned
	placeAddr := startPlaceFleet(t)
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("OPERATOR", strings.TrimPrefix(srv.URL, "http://"))
			env.Setenv("PLACE", placeAddr)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exitcode": exitCode},
	})
}

// exitCode implements the script command "exitcode CODE ARG...": it runs the program with the arguments and compares
// its exit code.
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	got := 0
	err := ts.Exec("dandelionvane", args[1:]...)
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		got = exit.ExitCode()
	case err != nil:
		ts.Fatalf("%v", err)
	}
	if fmt.Sprint(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

func TestTablesCannotSteerATerminal(t *testing.T) {
	v, err := parseValue([]byte(`{"a\u001b[2J": "x\u001b]0;y\u0007", "t": [{"\u001bk": "\u009b"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := writeTables(&out, v); err != nil {
		t.Fatal(err)
	}
	if strings.ContainsAny(out.String(), "\x1b\x07\u009b") {
		t.Errorf("control characters in %q", out.String())
	}
}

func TestLongTablesAreCut(t *testing.T) {
	for _, extra := range []int{0, 3} {
		doc := `{"peers": [` + strings.Repeat(`{"id": "r"},`, maxRows+extra-1) + `{"id": "last"}]}`
		v, err := parseValue([]byte(doc))
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err := writeTables(&out, v); err != nil {
			t.Fatal(err)
		}
		if truncated := strings.HasSuffix(out.String(), "and 3 more rows, see --json\n"); truncated != (extra > 0) || strings.Contains(out.String(), "last") == truncated {
			t.Errorf("%d rows above the limit:\n%s", extra, out.String())
		}
	}
}

func FuzzTables(f *testing.F) {
	f.Add([]byte(stateDump))
	f.Add([]byte(`[[1,{"a":[]}],{}]`))
	f.Fuzz(func(t *testing.T, doc []byte) {
		v, err := parseValue(doc)
		if err != nil {
			return
		}
		if err := writeTables(&bytes.Buffer{}, v); err != nil {
			t.Error(err)
		}
	})
}
