package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

const minimal = `
[instance]
id = "a-1"
data_centre = "a"
[platform]
url = "http://127.0.0.1:7000"
[tls]
ca = "ca.pem"
certificate = "/etc/a-1.pem"
key = "keys/a-1-key.pem"
secret = "secret"
`

func TestLoadKeepsDefaults(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a-1.toml")
	if err := os.WriteFile(path, []byte(minimal+"[load]\nramp = '5s'\n[peers]\nseeds = ['a-2=10.1.0.5:7443']\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	got, faults := Load(path)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	want := Default()
	want.Instance = Instance{ID: "a-1", DataCentre: "a"}
	want.Platform.URL = "http://127.0.0.1:7000"
	want.TLS = TLS{CA: filepath.Join(dir, "ca.pem"), Certificate: "/etc/a-1.pem", Key: filepath.Join(dir, "keys/a-1-key.pem"), Secret: filepath.Join(dir, "secret")}
	want.Load.Ramp = 5 * time.Second
	want.Peers.Seeds = []string{"a-2=10.1.0.5:7443"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestEveryFaultAtOnce(t *testing.T) {
	text := `[instance]
id = "a/1"
[listen]
callers = "localhost:80"
peers = "0.0.0.0:70000"
operator = 9090
[platform]
url = "http://platform:7000"
watch_wait = "1h"
[load]
multiple = nan
ramp_start = 0
[requests]
max_body_byte = 5
[retry]
ratio = 2
backoff_base = "2s"
[colour]
`
	s, faults := Parse("x.toml", []byte(text))
	if s != nil {
		t.Error("accepted")
	}
	var got []string
	for _, f := range faults {
		key := strings.TrimPrefix(strings.Fields(strings.ReplaceAll(f.Problem, ":", ""))[0], "unknown")
		got = append(got, fmt.Sprintf("%d %s", f.Line, key))
	}
	want := []string{
		"1 instance.data_centre", "2 keys", "4 listen.callers", "5 listen.peers", "6 listen.operator",
		"8 platform.url", "9 platform.watch_wait", "11 load.multiple", "12 load.ramp_start", "14 ",
		"16 retry.ratio", "17 retry.backoff_base", "18 ", "1 tls.ca", "1 tls.certificate", "1 tls.key",
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("faults:\n%v\ngot  %q\nwant %q", faults, got, want)
	}
}

func TestParseChecksEachBound(t *testing.T) {
	tests := []string{
		"[listen]\ncallers = '1.2.3.4:80'\noperator = '1.2.3.4:80'",
		"[peers]\nseeds = 'a-2=10.1.0.5:7443'",
		"[peers]\nseeds = ['a-2']",
		"[peers]\nseeds = ['a/2=10.1.0.5:7443']",
		"[peers]\nseeds = ['a-2=host:7443']",
		"[peers]\nseeds = ['a-2=10.1.0.5:0']",
		"[peers]\nseeds = ['a-1=10.1.0.4:7443']",
		"[peers]\nseeds = ['a-2=10.1.0.5:7443', 'a-2=10.1.0.6:7443']",
		"[peers]\nseeds = [" + strings.Repeat("'a-2=10.1.0.5:7443',", maxSeeds+1) + "]",
		"[load]\nmultiple = 1.0",
		"[load]\nmultiple = inf",
		"[load]\nmax_queue = -1",
		"[load]\nramp = '-1s'",
		"[load]\nmax_wait = '2h'",
		"[requests]\ndefault_deadline = '0s'",
		"[requests]\nmax_body_bytes = 10",
		"[requests]\nmax_header_bytes = 10_000_000",
		"[requests]\nprogress_timeout = '1ms'",
		"[requests]\nheader_timeout = '0s'",
		"[retry]\nratio = nan",
		"[retry]\nbackoff_max = '1h'",
		"[retry]\nbackoff_base = '0s'",
		"[tickets]\nttl = '0s'",
		"[tickets]\nkey_lifetime = '240h'",
		"[stop]\ndrain_timeout = '-1s'",
		"[log]\nverbosity = 11",
	}
	for _, tt := range tests {
		s, faults := Parse("x.toml", []byte(minimal+tt))
		if s != nil || len(faults) != 1 || faults[0].Fix == "" {
			t.Errorf("%q: faults %v, want one", tt, faults)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("[instance]\nid = 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, faults := Parse("x", text)
		if (s == nil) != (len(faults) > 0) {
			t.Errorf("settings %v with faults %v", s, faults)
		}
	})
}
