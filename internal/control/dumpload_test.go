package control

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/cost"
)

// TestDumpOfLoad: speeds, outstanding prefill times and contention are in the dump where they are known, and only there.
func TestDumpOfLoad(t *testing.T) {
	s, now := explainedState(t)
	plain := s.Dump(now)
	for _, e := range plain.Endpoints {
		if e.Speed != nil || e.PendingPrefillMS != nil {
			t.Errorf("without reports: %+v", e)
		}
	}
	for _, v := range plain.Services {
		if v.Contention != nil || v.Uneven {
			t.Errorf("without goals and reports: %+v", v)
		}
	}

	var ad Admission
	s.findRoute(now, "h", "/chat/x", &ad)
	ad.Route.GoalLatency = 300 * time.Millisecond
	e := s.services["s"][0]
	s.noteSpeedReport(now, e, 250)
	s.reportSpeed(now, e, 250)
	s.backlog.tracker.Sent(now, s.services["s"][1].shortID(), "attempt", 1230*time.Millisecond)
	for range 20 {
		s.costs.Observe(cost.Observation{Request: cost.Request{Service: "s", Route: "chat", PromptTokens: 850}, Speed: 1, First: 10 * time.Millisecond, Total: 200 * time.Millisecond, Events: 9, Stream: true})
	}
	l := s.serviceLoadOf("s")
	l.queueLimit = 3.5
	for range 60 {
		now = now.Add(40 * time.Millisecond)
		l.contention.Update(now, 240, 100, 200*time.Millisecond, 75*time.Millisecond)
	}
	d := s.Dump(now)
	for i, x := range d.Endpoints {
		if (x.Speed != nil) != (i == 0) || x.PendingPrefillMS == nil || (*x.PendingPrefillMS == 1230) != (i == 1) {
			t.Errorf("%+v", x)
		}
	}
	if v := d.Endpoints[0].Speed; *v != (SpeedDump{Percent: 250, AgeMS: 2400}) {
		t.Errorf("%+v", v)
	}
	if len(d.Services) != 1 || d.Services[0].Contention == nil || !d.Services[0].Uneven {
		t.Fatalf("%+v", d.Services)
	}
	c := d.Services[0].Contention
	if !c.Contended || c.SinceMS <= 0 || c.SinceMS > 2400 || c.Utilization != 2.4 || c.Target != 1.375 || c.AdmittedShare >= 1 || c.Demand <= 1 || c.HoldMS <= 0 || c.QueueLimit != 3.5 {
		t.Errorf("%+v", c)
	}
	if len(d.Costs.Services) != 1 || !d.Costs.Services[0].Learned {
		t.Errorf("%+v", d.Costs)
	}
	if _, err := json.Marshal(d); err != nil {
		t.Error(err)
	}
}
