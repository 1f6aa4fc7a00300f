package examples_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/dandelionvane/dandelionvane/internal/cli"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/lists"
	"github.com/dandelionvane/dandelionvane/internal/settings"
)

var deployments = []struct {
	name                                      string
	dataCentres, instances, engines, services int
}{
	{"coulee", 4, 9, 10, 4},
	{"vatuwai", 3, 9, 12, 0},
}

const workspaces = 10

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	b, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func readJSON[T any](t *testing.T, name string) T {
	t.Helper()
	var v T
	dec := json.NewDecoder(bytes.NewReader(readFile(t, name)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return v
}

type instanceFeed struct {
	Revision  fleet.Revision   `json:"revision"`
	Instances []fleet.Instance `json:"instances"`
}

type endpointFeed struct {
	Revision  fleet.Revision   `json:"revision"`
	Endpoints []fleet.Endpoint `json:"endpoints"`
}

func TestExamplesPassCheck(t *testing.T) {
	for _, d := range deployments {
		args := []string{"check", "--plans", d.name + "/plans.toml",
			"--entitlements", d.name + "/entitlements.toml", "--state", d.name + "/state.toml"}
		files, err := filepath.Glob(d.name + "/settings/*.toml")
		if err != nil || len(files) != d.instances {
			t.Errorf("%s: %d settings files, %v", d.name, len(files), err)
		}
		for _, f := range files {
			args = append(args, "--settings", f)
		}
		var out bytes.Buffer
		if code := cli.Run(context.Background(), cli.Env{Args: args, Stdout: &out, Stderr: &out}); code != 0 || out.String() != "no errors\n" {
			t.Errorf("%s: exit code %d\n%s", d.name, code, &out)
		}
	}
}

func TestListsAndSettingsAgree(t *testing.T) {
	for _, d := range deployments {
		cfg := configuration(t, d.name)
		if len(cfg.DataCentres) != d.dataCentres || len(cfg.Workspaces) != workspaces {
			t.Errorf("%s: %d data centres, %d workspaces", d.name, len(cfg.DataCentres), len(cfg.Workspaces))
		}
		addrs := map[string]bool{}
		checkInstances(t, d.name, d.instances, cfg, addrs)
		engines, services := checkEndpoints(t, d.name, cfg, addrs)
		if engines != d.engines || services != d.services {
			t.Errorf("%s: %d engines, %d services", d.name, engines, services)
		}
		for id, w := range cfg.Workspaces {
			if sum := sha256.Sum256([]byte("demo-key-" + id)); w.KeyHashes[0] != hex.EncodeToString(sum[:]) {
				t.Errorf("%s: key of workspace %s isn't the one in the comment", d.name, id)
			}
		}
	}
}

func configuration(t *testing.T, dir string) *fleet.Configuration {
	t.Helper()
	text := func(list string) string { return string(readFile(t, dir+"/"+list+".toml")) }
	cfg, faults := lists.Parse(1, text(lists.Plans), text(lists.Entitlements), text(lists.State))
	if cfg == nil {
		t.Fatal(faults)
	}
	return cfg
}

func checkInstances(t *testing.T, dir string, want int, cfg *fleet.Configuration, addrs map[string]bool) {
	t.Helper()
	feed := readJSON[instanceFeed](t, dir+"/instances.json")
	if len(feed.Instances) != want || feed.Revision == 0 {
		t.Errorf("%s: %d instances at revision %d", dir, len(feed.Instances), feed.Revision)
	}
	for _, in := range feed.Instances {
		s, faults := settings.Load(filepath.Join(dir, "settings", string(in.ID)+".toml"))
		if s == nil {
			t.Fatal(faults)
		}
		got := fleet.Instance{ID: fleet.InstanceID(s.Instance.ID), DataCentre: fleet.DataCentreID(s.Instance.DataCentre), PeerAddr: s.Listen.Peers}
		if got != in {
			t.Errorf("%s: settings have %+v, the instance list has %+v", dir, got, in)
		}
		if _, ok := cfg.DataCentres[in.DataCentre]; !ok {
			t.Errorf("%s: instance %s is in unknown data centre %s", dir, in.ID, in.DataCentre)
		}
		checkSeeds(t, s, feed.Instances)
		for _, a := range []string{s.Listen.Callers, s.Listen.Peers, s.Listen.Operator} {
			checkUnused(t, addrs, a)
		}
	}
}

// checkSeeds checks that the seeds have the addresses of the instance list and that every data centre has one.
func checkSeeds(t *testing.T, s *settings.Settings, list []fleet.Instance) {
	t.Helper()
	reached := map[fleet.DataCentreID]bool{}
	for _, text := range s.Peers.Seeds {
		seed, err := settings.ParseSeed(text)
		if err != nil {
			t.Fatal(err)
		}
		i := slices.IndexFunc(list, func(in fleet.Instance) bool { return string(in.ID) == seed.ID })
		if i < 0 || list[i].PeerAddr != seed.Addr.String() {
			t.Errorf("%s: seed %s differs from the instance list", s.Instance.ID, text)
			continue
		}
		reached[list[i].DataCentre] = true
	}
	for _, in := range list {
		if !reached[in.DataCentre] {
			t.Errorf("%s: no seed in data centre %s", s.Instance.ID, in.DataCentre)
		}
	}
}

func checkEndpoints(t *testing.T, dir string, cfg *fleet.Configuration, addrs map[string]bool) (engines, services int) {
	t.Helper()
	servedModels, servedServices := map[fleet.ModelID]bool{}, map[fleet.ServiceID]bool{}
	for _, e := range readJSON[endpointFeed](t, dir+"/endpoints.json").Endpoints {
		checkUnused(t, addrs, e.Addr)
		if _, ok := cfg.DataCentres[e.DataCentre]; !ok {
			t.Errorf("%s: endpoint %s is in unknown data centre %s", dir, e.ID, e.DataCentre)
		}
		switch {
		case e.Kind == fleet.Engine && e.Model != "" && e.Service == "":
			engines++
			servedModels[e.Model] = true
		case e.Kind == fleet.Service && e.Service != "" && e.Model == "":
			services++
			servedServices[e.Service] = true
		default:
			t.Errorf("%s: endpoint %+v is neither engine nor service", dir, e)
		}
	}
	for _, p := range cfg.Plans {
		for _, m := range p.Models {
			if !servedModels[m] {
				t.Errorf("%s: plan %s includes model %s, which no engine serves", dir, p.ID, m)
			}
		}
		for _, s := range p.Services {
			if !servedServices[s] {
				t.Errorf("%s: plan %s includes service %s, which no endpoint serves", dir, p.ID, s)
			}
		}
	}
	return engines, services
}

func checkUnused(t *testing.T, used map[string]bool, addr string) {
	t.Helper()
	if used[addr] {
		t.Errorf("address %s is used twice", addr)
	}
	used[addr] = true
}
