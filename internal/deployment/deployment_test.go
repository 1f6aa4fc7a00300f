package deployment

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/lists"
	"github.com/dandelionvane/dandelionvane/internal/settings"
)

const parentVariable = "DEPLOYMENT_TEST_PARENT"

func TestMain(m *testing.M) {
	if os.Getenv(parentVariable) != "" {
		runParent()
		return
	}
	os.Exit(m.Run())
}

// runParent starts a long-running child, prints its process id and waits to be killed.
func runParent() {
	p, _, err := newProcessStarter().start("child", os.Stderr, false, "sleep", "600")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(p.cmd.Process.Pid)
	<-p.done
}

func TestChildDiesWithItsParent(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	parent := exec.Command(self)
	parent.Env = append(os.Environ(), parentVariable+"=1")
	out, err := parent.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := parent.Start(); err != nil {
		t.Fatal(err)
	}
	var pid int
	if _, err := fmt.Fscan(bufio.NewReader(out), &pid); err != nil {
		t.Fatal(err)
	}
	if !isRunning(pid) {
		t.Fatal("the child process is not running")
	}
	_ = parent.Process.Kill()
	_ = parent.Wait()
	for end := time.Now().Add(20 * time.Second); isRunning(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			_ = syscall.Kill(pid, syscall.SIGKILL)
			t.Fatal("the child process is still running after its parent was killed")
		}
	}
}

// isRunning reports whether a process exists and is not a zombie.
func isRunning(pid int) bool {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return err == nil && !strings.Contains(string(b), ") Z ")
}

// newCouleeDeployment returns the Coulee deployment with router addresses and without running processes. Data centre dc2
// is out of service.
func newCouleeDeployment(t *testing.T) *Deployment {
	t.Helper()
	d := &Deployment{
		Spec: Coulee(), opts: Options{Dir: t.TempDir()}, platformAddr: "127.0.0.1:1",
		outOfService: map[fleet.DataCentreID]bool{"dc2": true},
	}
	if err := d.assignRouterAddrs(t.Context()); err != nil {
		t.Fatal(err)
	}
	return d
}

func TestCouleeSize(t *testing.T) {
	s := Coulee()
	ids := map[string]bool{}
	models := map[fleet.ModelID]int{}
	dcs := map[fleet.DataCentreID]int{}
	for _, r := range s.Routers {
		ids[string(r.ID)] = true
		dcs[r.DataCentre]++
	}
	for _, e := range s.Engines {
		ids[string(e.Config.ID)] = true
		models[e.Config.Model]++
	}
	for _, g := range s.Services {
		ids[g.Config.ID] = true
	}
	if len(s.Routers) != 9 || models[AssistantModel] != 10 || models[BookingModel] != 4 || len(dcs) != 4 || len(s.Workspaces) != 10 {
		t.Errorf("%d routers in %v, engines %v, %d workspaces", len(s.Routers), dcs, models, len(s.Workspaces))
	}
	if len(ids) != 9+14+4 {
		t.Errorf("%d different ids", len(ids))
	}
}

func TestListsAndSettingsHaveNoFault(t *testing.T) {
	d := newCouleeDeployment(t)
	cfg, faults := lists.Parse(1, d.plans(), d.entitlements(), d.state())
	if len(faults) > 0 || len(cfg.Workspaces) != 10 || !cfg.DataCentres["dc2"].OutOfService || cfg.DataCentres["dc1"].OutOfService {
		t.Errorf("lists: %v, %+v", faults, cfg)
	}
	for _, w := range d.Spec.Workspaces {
		if p := cfg.Plans[cfg.Workspaces[w.ID].Plan]; p.ID != w.Plan || len(p.Models) == 0 {
			t.Errorf("workspace %s is on plan %+v", w.ID, p)
		}
	}
	addrs := map[string]bool{}
	for _, r := range d.Routers() {
		file := filepath.Join(t.TempDir(), "settings.toml")
		if err := os.WriteFile(file, []byte(d.settings(r)), privateFileMode); err != nil {
			t.Fatal(err)
		}
		s, faults := settings.Load(file)
		if s == nil || len(faults) > 0 || s.Instance.ID != string(r.ID) || s.Listen.Peers != r.PeerAddr {
			t.Fatalf("settings of %s: %+v, %v", r.ID, s, faults)
		}
		if n := len(s.Peers.Seeds); n != len(d.Routers())-1 {
			t.Errorf("%s has %d seeds", r.ID, n)
		}
		for _, a := range []string{r.CallerAddr, r.PeerAddr, r.OperatorAddr} {
			if _, err := netip.ParseAddrPort(a); err != nil || addrs[a] {
				t.Errorf("address %q is invalid or assigned twice", a)
			}
			addrs[a] = true
		}
	}
}

func TestParseMetrics(t *testing.T) {
	m, err := parseMetrics(strings.NewReader("# TYPE dandelionvane_a counter\ndandelionvane_a 3\ndandelionvane_b{kind=\"x y\"} 2.5e+07\n\n"))
	if err != nil || len(m) != 2 || m["a"] != 3 || m[`b{kind="x y"}`] != 2.5e7 {
		t.Errorf("%v, %v", m, err)
	}
	for _, broken := range []string{"novalue", "a b"} {
		if _, err := parseMetrics(strings.NewReader(broken)); err == nil {
			t.Errorf("parseMetrics accepted %q", broken)
		}
	}
	first := Traffic{Bytes: 100, At: time.Unix(10, 0)}
	if got := (Traffic{Bytes: 700, At: time.Unix(12, 0)}).Rate(first); got != 300 {
		t.Errorf("rate %v", got)
	}
}
