package gateway

import (
	"reflect"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/published"
)

// reloadPeriod is the time between two looks at the settings: they may change without a
// signal.
const reloadPeriod = 2 * time.Second

// firstSettings reads the settings of a process that starts. Where a bound cannot be read
// its default holds; without addresses the process cannot run.
func firstSettings(load func() (Settings, []error)) (Settings, error) {
	s, faults := load()
	logFaults(faults)
	if err := s.check(); err != nil {
		return s, err
	}
	event.Record(event.SettingsRead, "instance", s.Instance, "data_centre", s.DataCentre, "store", s.Store.Addr, "seeds", s.Peers.Seeds)
	return s, nil
}

func logFaults(faults []error) {
	for _, f := range faults {
		event.Record(event.SettingsFault, "err", f.Error())
	}
}

// watchSettings reads the settings again and again, and at once on a signal.
func (p *process) watchSettings() {
	ticker := time.NewTicker(reloadPeriod)
	defer ticker.Stop()
	last, faulty := p.settings, 0 // faults of the last look
	for {
		select {
		case <-ticker.C:
		case <-p.opts.Reload:
		case <-p.ctx.Done():
			return
		}
		s, faults := p.opts.Load()
		if len(faults) > 0 {
			if faulty != len(faults) {
				logFaults(faults)
			}
			faulty = len(faults)
			continue
		}
		faulty = 0
		if !reflect.DeepEqual(s, last) {
			p.reload(last, s)
			last = s
		}
	}
}

// reload puts changed settings in force. Addresses on which the process listens, and who
// it is, change only with its next start.
func (p *process) reload(last, s Settings) {
	now := p.settings
	restart := s.Instance != now.Instance || s.DataCentre != now.DataCentre || s.Listen != now.Listen || s.Peers.Addr != now.Peers.Addr
	event.Record(event.SettingsRead, "instance", s.Instance, "data_centre", s.DataCentre, "store", s.Store.Addr, "seeds", s.Peers.Seeds, "needs_restart", restart)
	s.Instance, s.DataCentre, s.Listen, s.Peers.Addr = now.Instance, now.DataCentre, now.Listen, now.Peers.Addr
	p.seeds.Store(newSeedClient(s))
	if s.Store != last.Store {
		p.store.Swap(published.NewClient(s.Store.Addr, p.opts.Protocol)).Close()
	}
	p.loop.Do(func(st *control.State, _ boottime.Instant) { st.Configure(s.control(0, nil)) })
}
