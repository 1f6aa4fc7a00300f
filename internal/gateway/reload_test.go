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

// fakeSettingsFile stands for the settings file and its parser.
type fakeSettingsFile struct {
	mu       sync.Mutex
	settings Settings
	errs     []error
	loaded   chan struct{}
}

func (f *fakeSettingsFile) load() (Settings, []error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case f.loaded <- struct{}{}:
	default:
	}
	return f.settings, f.errs
}

func (f *fakeSettingsFile) set(change func(*Settings), errs ...error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.settings)
	f.errs = errs
}

func testSettings() Settings {
	return Settings{
		Instance: "n-1", DataCentre: "a", Listen: Listen{Callers: "x:1", Balancer: "x:2", Control: "x:3"},
		Peers: Peers{Addr: "x:4", Seeds: []string{"y:3"}}, Store: Store{Addr: "z:5"},
		Bounds: Bounds{KeyRevocationDelay: 5 * time.Second},
	}
}

// TestReloadOnSignal checks that SIGHUP applies changed settings, that settings with an error are
// ignored, and that the listen addresses don't change.
func TestReloadOnSignal(t *testing.T) {
	f := &fakeSettingsFile{settings: testSettings(), loaded: make(chan struct{}, 1)}
	signals := make(chan os.Signal)
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{opts: Options{LoadSettings: f.load, ReloadSignals: signals, Protocol: publishedtest.Protocol{}}, settings: testSettings(), ctx: ctx}
	p.loop = newLoop(control.New(boottime.Now(), p.settings.controlOptions(1, publishedtest.Protocol{})), func(control.Action) {})
	p.seeds.Store(newSeedClient(p.settings))
	p.store.Store(published.NewClient("z:5", publishedtest.Protocol{}))
	p.wg.Go(func() { p.loop.run(ctx) })
	p.wg.Go(p.pollSettings)
	defer p.wg.Wait()
	defer cancel()
	sendSIGHUP := func() {
		signals <- syscall.SIGHUP
		signals <- syscall.SIGHUP // received only after the first one has been handled
	}
	f.set(func(s *Settings) { s.Peers.Seeds = []string{"w:3"} }, errors.New("an invalid setting"))
	sendSIGHUP()
	if got := p.seeds.Load().addrs[0]; got != "y:3" {
		t.Errorf("seed %s from settings with an error was applied", got)
	}
	before := p.store.Load()
	f.set(func(s *Settings) { s.Store.Addr, s.Listen.Callers = "v:5", "elsewhere:1" })
	sendSIGHUP()
	if got := p.seeds.Load().addrs[0]; got != "w:3" {
		t.Errorf("seed %s", got)
	}
	if p.store.Load() == before {
		t.Error("the store's address was not changed")
	}
	if p.settings.Listen.Callers != "x:1" {
		t.Errorf("the process listens on %s", p.settings.Listen.Callers)
	}
}

// TestSettingsWithoutAddresses checks that a process does not start without an address, but does
// with a malformed bound.
func TestSettingsWithoutAddresses(t *testing.T) {
	s := testSettings()
	if _, err := loadInitialSettings(func() (Settings, []error) { return s, []error{errors.New("a malformed bound")} }); err != nil {
		t.Error(err)
	}
	s.Store.Addr = ""
	if _, err := loadInitialSettings(func() (Settings, []error) { return s, nil }); err == nil {
		t.Error("settings without a store were accepted")
	}
}
