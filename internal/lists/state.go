package lists

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

func (p *parser) state(text string) *tomldoc.Document {
	var doc stateDocument
	d := tomldoc.Decode(State, []byte(text), &doc)
	if !d.Parsed() {
		return d
	}
	if len(doc.DataCentres) == 0 {
		d.Errorf("", "add a [[data_centre]] for each data centre", "the list has no data centre")
	}
	p.dataCentres(d, doc.DataCentres)
	p.endpoints(d, doc.Endpoints)
	return d
}

func (p *parser) dataCentres(d *tomldoc.Document, entries []dataCentreEntry) {
	ids := newIDs(d, "data_centre")
	serving := 0
	for i, e := range entries {
		path := ids.add(i, e.ID)
		checkID(d, path+".region", e.Region)
		dc := fleet.DataCentre{ID: fleet.DataCentreID(e.ID), Region: fleet.RegionID(e.Region), OutOfService: out(e.InService)}
		if !dc.OutOfService {
			serving++
		}
		p.cfg.DataCentres[dc.ID] = dc
	}
	if serving == 0 && len(entries) > 0 {
		d.Warnf(index("data_centre", 0), "set in_service = true for one, unless the whole deployment is to stop", "all data centres are out of service")
	}
}

func (p *parser) endpoints(d *tomldoc.Document, entries []endpointEntry) {
	ids := newIDs(d, "endpoint")
	for i, e := range entries {
		ids.add(i, e.ID)
		if out(e.InService) {
			p.cfg.EndpointsOutOfService[fleet.EndpointID(e.ID)] = true
		}
	}
}

func out(inService *bool) bool { return inService != nil && !*inService }
