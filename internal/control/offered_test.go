package control_test

import (
	"slices"
	"time"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/controltest"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/published"
	"github.com/dandelionvane/dandelionvane/internal/published/publishedtest"
)

// offerInterval is the time between two observations of the store. It is shorter than a read, so that a change is observed
// before a gateway knows of it.
const offerInterval = 2 * time.Millisecond

// offers records when each service had an endpoint that all gateways had to know and to use: one that runs, whose entry
// has been in the store for changeBound of the time in which the store could be read, and is not leaving, and whose data
// centre has not been evacuated for changeBound.
type offers struct {
	world     *controltest.World
	readable  map[fleet.EndpointID]time.Duration // for how long its entry has been in the store and could be read
	evacuated map[fleet.DataCentreID]boottime.Instant
	records   map[string]decoded // of the entries, by key
	observed  []offer
}

// decoded is the record of an item at a revision.
type decoded struct {
	revision fleet.Revision
	record   published.Record
}

// offer is the set of services with such an endpoint at a time.
type offer struct {
	at       boottime.Instant
	services map[fleet.ServiceID]bool
}

// observeOffers observes the store from the time at which all gateways know its content.
func observeOffers(w *controltest.World) *offers {
	o := &offers{world: w, readable: map[fleet.EndpointID]time.Duration{}, evacuated: map[fleet.DataCentreID]boottime.Instant{}, records: map[string]decoded{}}
	for id := range o.entries() {
		o.readable[id] = changeBound
	}
	var next func()
	next = func() {
		o.observe()
		w.After(offerInterval, next)
	}
	next()
	return o
}

// observe adds an observation.
func (o *offers) observe() {
	now := o.world.Now()
	entries := o.entries()
	for id := range o.readable {
		if e, ok := entries[id]; !ok || e.Leaving || o.world.Endpoints[id].Down {
			delete(o.readable, id)
		}
	}
	services := map[fleet.ServiceID]bool{}
	for id, e := range entries {
		if e.Leaving || o.world.Endpoints[id].Down {
			continue
		}
		if o.world.Partitioned == nil {
			o.readable[id] += offerInterval
		}
		out, wasOut := o.evacuated[e.DataCentre]
		if o.readable[id] >= changeBound && (!wasOut || now.Sub(out) > changeBound) {
			services[e.Service] = true
		}
	}
	o.observed = append(o.observed, offer{now, services})
}

// entries returns the endpoints in the store, and notes the evacuations in it.
func (o *offers) entries() map[fleet.EndpointID]fleet.Endpoint {
	out := map[fleet.EndpointID]fleet.Endpoint{}
	configKey := publishedtest.Config(nil).Key
	for _, it := range o.world.Store.Update(true, 0).Items {
		if it.Key == configKey {
			continue
		}
		switch r := o.record(it).(type) {
		case published.Endpoint:
			out[r.Endpoint.ID] = r.Endpoint
		case published.Evacuation:
			if !r.Ended {
				o.evacuated[r.DataCentre] = o.world.Now()
			}
		}
	}
	return out
}

// record returns the record of an item.
func (o *offers) record(it published.Item) published.Record {
	if d, ok := o.records[it.Key]; ok && d.revision == it.Revision {
		return d.record
	}
	r, err := publishedtest.Protocol{}.DecodeItem(it)
	if err != nil {
		panic("control_test: " + err.Error())
	}
	o.records[it.Key] = decoded{it.Revision, r}
	return r
}

// lackedFor reports whether a call was refused for lack of an endpoint while its service had none that all gateways had to
// know and to use.
func (o *offers) lackedFor(c *controltest.Call) bool {
	if c.End != controltest.CallRefused || c.Reason != control.ReasonNoEndpoint {
		return false
	}
	after, _ := slices.BinarySearchFunc(o.observed, c.EndedAt, func(o offer, at boottime.Instant) int { return int(o.at.Sub(at)) })
	return after > 0 && !o.observed[after-1].services[c.Service]
}
