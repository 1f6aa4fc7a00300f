package gateway

import (
	"reflect"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/fault"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// settingsPollInterval is the time between two polls of the settings, which may change without a
// signal.
const settingsPollInterval = 2 * time.Second

// loadInitialSettings reads the settings at the start of the process and logs their errors. It
// fails only if a name or an address without which the process cannot run is missing.
func loadInitialSettings(load func() (Settings, []error)) (Settings, error) {
	s, errs := load()
	recordSettingsErrors(errs)
	if err := s.validate(); err != nil {
		return s, err
	}
	event.LogFields(event.SettingsRead, "instance", s.Instance, "data_centre", s.DataCentre, "store", s.Store.Addr, "seeds", s.Peers.Seeds)
	return s, nil
}

func recordSettingsErrors(errs []error) {
	for _, err := range errs {
		event.LogFields(event.SettingsFault, "err", err.Error())
	}
}

// pollSettings reads the settings periodically and on each reload signal, and applies changed
// settings. Settings with errors are ignored; their errors are logged when their number changes.
func (p *process) pollSettings() {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	reload := settingsReload{process: p, last: p.settings}
	for {
		select {
		case <-ticker.C:
		case <-p.opts.ReloadSignals:
		case <-p.ctx.Done():
			return
		}
		fault.Contain("settings", reload.poll)
	}
}

// settingsReload holds what the polls of the settings have read.
type settingsReload struct {
	process    *process
	last       Settings // applied last
	errorCount int      // of the last poll; errors are logged only when their number changes
}

func (r *settingsReload) poll() {
	s, errs := r.process.opts.LoadSettings()
	if len(errs) > 0 && len(errs) != r.errorCount {
		recordSettingsErrors(errs)
	}
	r.errorCount = len(errs)
	if len(errs) > 0 || reflect.DeepEqual(s, r.last) {
		return
	}
	last := r.last
	r.last = s // also if it cannot be applied: the next poll would fail in the same way
	r.process.applySettings(last, s)
}

// applySettings applies changed settings. The instance name, the data centre, the listen addresses
// and the address for peers change only with a restart; the field needs_restart of the recorded
// event states whether one is needed. The stop grace period, too, stays as it was at the start, but
// without effect on needs_restart.
func (p *process) applySettings(last, loaded Settings) {
	current := p.settings
	needsRestart := loaded.Instance != current.Instance || loaded.DataCentre != current.DataCentre || loaded.Listen != current.Listen || loaded.Peers.Addr != current.Peers.Addr
	event.LogFields(event.SettingsRead, "instance", loaded.Instance, "data_centre", loaded.DataCentre, "store", loaded.Store.Addr, "seeds", loaded.Peers.Seeds, "needs_restart", needsRestart)
	loaded.Instance, loaded.DataCentre, loaded.Listen, loaded.Peers.Addr = current.Instance, current.DataCentre, current.Listen, current.Peers.Addr
	p.seeds.Store(newSeedClient(loaded))
	if loaded.Store != last.Store {
		p.store.Swap(published.NewClient(loaded.Store.Addr, p.opts.Protocol)).Close()
	}
	p.loop.Do(func(st *control.State, _ boottime.Instant) { st.Configure(loaded.controlOptions(0, nil)) })
}
