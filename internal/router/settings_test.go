package router

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/keys"
	"github.com/dandelionvane/dandelionvane/internal/settings"
)

// TestSettingsReachTheParts changes each setting from its default.
func TestSettingsReachTheParts(t *testing.T) {
	dir := t.TempDir()
	s := keySettings(t, dir, "a-1")
	s.Load = settings.LoadBalancing{Multiple: 2.5, Ramp: 7 * time.Second, RampStart: 3, MaxQueue: 5, MaxWait: 9 * time.Second}
	s.Requests = settings.Requests{
		DefaultDeadline: 11 * time.Second, MaxBodyBytes: 2048, MaxHeaderBytes: 4096,
		ProgressTimeout: 12 * time.Second, HeaderTimeout: 13 * time.Second,
	}
	s.Retry = settings.Retry{Ratio: 0.3, BackoffBase: 14 * time.Millisecond, BackoffMax: 15 * time.Millisecond}
	s.Tickets = settings.Tickets{TTL: 16 * time.Second, KeyLifetime: 17 * time.Second}
	s.Stop.DrainTimeout = 18 * time.Second
	s.Platform.WatchWait = 19 * time.Second
	o, err := fromSettings(s)
	if err != nil {
		t.Fatal(err)
	}
	c := o.Core
	if c.Self != "a-1" || c.DataCentre != "a" || c.Incarnation == 0 || c.RandomSeed == 0 || c.LoadMultiple != 2.5 ||
		c.RampTime != s.Load.Ramp || c.RampStart != 3 || c.MaxQueue != 5 || c.MaxQueueWait != s.Load.MaxWait ||
		c.DefaultDeadline != s.Requests.DefaultDeadline || c.RetryRatio != 0.3 || c.BackoffBase != s.Retry.BackoffBase ||
		c.BackoffMax != s.Retry.BackoffMax || c.TicketTTL != s.Tickets.TTL || c.KeyLifetime != s.Tickets.KeyLifetime ||
		c.DrainTimeout != s.Stop.DrainTimeout {
		t.Errorf("core: %+v", c)
	}
	if o.Callers.MaxBodyBytes != 2048 || o.Callers.MaxHeaderBytes != 4096 || o.Callers.HeaderTimeout != s.Requests.HeaderTimeout {
		t.Errorf("callers: %+v", o.Callers)
	}
	if o.Upstream.ProgressTimeout != s.Requests.ProgressTimeout || o.Platform.WatchWait != s.Platform.WatchWait || o.StopTimeout <= s.Stop.DrainTimeout {
		t.Errorf("upstream %+v, platform %+v, stop %v", o.Upstream, o.Platform, o.StopTimeout)
	}
}

// TestWrongKeysStopTheStart names the file at fault.
func TestWrongKeysStopTheStart(t *testing.T) {
	dir := t.TempDir()
	secret := filepath.Join(dir, "secret")
	if err := os.WriteFile(secret, []byte("short\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct {
		change func(s *settings.Settings)
		want   string
	}{
		"another instance's certificate": {func(s *settings.Settings) { s.Instance.ID = "a-2" }, "a-1.pem"},
		"no certificate":                 {func(s *settings.Settings) { s.TLS.Certificate += "x" }, "a-1.pemx"},
		"no secret":                      {func(s *settings.Settings) { s.TLS.Secret = secret + "x" }, "secretx"},
		"short secret":                   {func(s *settings.Settings) { s.TLS.Secret = secret }, "16 bytes"},
	} {
		s := keySettings(t, dir, "a-1")
		tc.change(s)
		if _, err := fromSettings(s); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func keySettings(t *testing.T, dir, id string) *settings.Settings {
	t.Helper()
	ca, err := keys.NewCA()
	if err != nil {
		t.Fatal(err)
	}
	pair, err := ca.Issue(id)
	if err != nil {
		t.Fatal(err)
	}
	if err := ca.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	if err := pair.WriteFiles(dir); err != nil {
		t.Fatal(err)
	}
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, DataCentre: "a"}
	s.TLS.CA = filepath.Join(dir, keys.CACertFile)
	s.TLS.Certificate = filepath.Join(dir, id+".pem")
	s.TLS.Key = filepath.Join(dir, id+"-key.pem")
	return s
}
