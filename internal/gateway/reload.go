package gateway

import (
	"reflect"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// reloadInterval is the time between two looks at the settings: they may change without a
// signal.
const reloadInterval = 2 * time.Second

// loadInitialSettings reads the settings of a process that starts. Where a bound cannot be read
// its default holds; without addresses the process cannot run.
func loadInitialSettings(load func() (Settings, []error)) (Settings, error) {
	s, errs := load()
	recordSettingsErrors(errs)
	if err := s.validate(); err != nil {
		return s, err
	}
	event.Record(event.SettingsRead, "instance", s.Instance, "data_centre", s.DataCentre, "store", s.Store.Addr, "seeds", s.Peers.Seeds)
	return s, nil
}

func recordSettingsErrors(errs []error) {
	for _, err := range errs {
		event.Record(event.SettingsFault, "err", err.Error())
	}
}

// pollSettings reads the settings again and again, and at once on a signal.
func (p *process) pollSettings() {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last, lastErrorCount := p.settings, 0 // faults of the last look
	for {
		select {
		case <-ticker.C:
		case <-p.opts.Reload:
		case <-p.ctx.Done():
			return
		}
		s, errs := p.opts.Load()
		if len(errs) > 0 {
			if lastErrorCount != len(errs) {
				recordSettingsErrors(errs)
			}
			lastErrorCount = len(errs)
			continue
		}
		lastErrorCount = 0
		if !reflect.DeepEqual(s, last) {
			p.applySettings(last, s)
			last = s
		}
	}
}

// applySettings puts changed settings in force. Addresses on which the process listens, and who
// it is, change only with its next start.
func (p *process) applySettings(last, s Settings) {
	now := p.settings
	restart := s.Instance != now.Instance || s.DataCentre != now.DataCentre || s.Listen != now.Listen || s.Peers.Addr != now.Peers.Addr
	event.Record(event.SettingsRead, "instance", s.Instance, "data_centre", s.DataCentre, "store", s.Store.Addr, "seeds", s.Peers.Seeds, "needs_restart", restart)
	s.Instance, s.DataCentre, s.Listen, s.Peers.Addr = now.Instance, now.DataCentre, now.Listen, now.Peers.Addr
	p.seeds.Store(newSeedClient(s))
	if s.Store != last.Store {
		p.store.Swap(published.NewClient(s.Store.Addr, p.opts.Protocol)).Close()
	}
	p.loop.Do(func(st *control.State, _ boottime.Instant) { st.Configure(s.controlOptions(0, nil)) })
}
