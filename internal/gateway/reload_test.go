package gateway

import (
	"context"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
)

// source is a settings file.
type source struct {
	mu     sync.Mutex
	s      Settings
	faults []error
	read   chan struct{}
}

func (f *source) load() (Settings, []error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case f.read <- struct{}{}:
	default:
	}
	return f.s, f.faults
}

func (f *source) set(change func(*Settings), faults ...error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.s)
	f.faults = faults
}

func testSettings() Settings {
	return Settings{
		Instance: "n-1", DataCentre: "a", Listen: Listen{Callers: "x:1", Balancer: "x:2", Control: "x:3"},
		Peers: Peers{Addr: "x:4", Seeds: []string{"y:3"}}, Store: Store{Addr: "z:5"},
		Bounds: Bounds{KeyRevocationDelay: 5 * time.Second},
	}
}

// TestReloadOnSignal: a change is in force after SIGHUP, one with a fault is not, and the
// addresses on which the process listens stay.
func TestReloadOnSignal(t *testing.T) {
	f := &source{s: testSettings(), read: make(chan struct{}, 1)}
	signals := make(chan os.Signal)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{opts: Options{Load: f.load, Reload: signals, Protocol: publishedtest.Protocol{}}, settings: testSettings(), ctx: ctx}
	p.loop = newLoop(control.New(boottime.Now(), p.settings.control(1, publishedtest.Protocol{})), func(control.Action) {})
	p.seeds.Store(newSeedClient(p.settings))
	p.store.Store(published.NewClient("z:5", publishedtest.Protocol{}))
	p.wg.Go(func() { p.loop.run(ctx) })
	p.wg.Go(p.watchSettings)
	defer p.wg.Wait()
	defer cancel()
	hup := func() {
		signals <- syscall.SIGHUP
		signals <- syscall.SIGHUP // taken when the first one has been dealt with
	}
	f.set(func(s *Settings) { s.Peers.Seeds = []string{"w:3"} }, errors.New("a fault"))
	hup()
	if got := p.seeds.Load().addrs[0]; got != "y:3" {
		t.Errorf("seed %s of settings with a fault", got)
	}
	before := p.store.Load()
	f.set(func(s *Settings) { s.Store.Addr, s.Listen.Callers = "v:5", "elsewhere:1" })
	hup()
	if got := p.seeds.Load().addrs[0]; got != "w:3" {
		t.Errorf("seed %s", got)
	}
	if p.store.Load() == before {
		t.Error("the store's address is the old one")
	}
	if p.settings.Listen.Callers != "x:1" {
		t.Errorf("the process listens on %s", p.settings.Listen.Callers)
	}
}

// TestSettingsWithoutAddresses cannot be run with; a bound that cannot be read can.
func TestSettingsWithoutAddresses(t *testing.T) {
	s := testSettings()
	if _, err := firstSettings(func() (Settings, []error) { return s, []error{errors.New("a bound")} }); err != nil {
		t.Error(err)
	}
	s.Store.Addr = ""
	if _, err := firstSettings(func() (Settings, []error) { return s, nil }); err == nil {
		t.Error("settings without a store were taken")
	}
}
