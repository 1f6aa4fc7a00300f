package lists

import (
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/tomldoc"
)

func (p *parser) parseState(text string) *tomldoc.Document {
	var doc stateDocument
	d := tomldoc.Decode(State, []byte(text), &doc)
	if !d.Parsed() {
		return d
	}
	if len(doc.DataCentres) == 0 {
		d.Errorf("", "add a [[data_centre]] for each data centre", "the list has no data centre")
	}
	p.addDataCentres(d, doc.DataCentres)
	p.addEndpoints(d, doc.Endpoints)
	return d
}

func (p *parser) addDataCentres(d *tomldoc.Document, entries []dataCentreEntry) {
	ids := newIDChecker(d, "data_centre")
	inService := 0
	for i, e := range entries {
		path := ids.check(i, e.ID)
		checkID(d, path+".region", e.Region)
		dc := fleet.DataCentre{ID: fleet.DataCentreID(e.ID), Region: fleet.RegionID(e.Region), OutOfService: outOfService(e.InService)}
		if !dc.OutOfService {
			inService++
		}
		p.cfg.DataCentres[dc.ID] = dc
	}
	if inService == 0 && len(entries) > 0 {
		d.Warnf(elementPath("data_centre", 0), "set in_service = true for one, unless the whole deployment is to stop", "all data centres are out of service")
	}
}

func (p *parser) addEndpoints(d *tomldoc.Document, entries []endpointEntry) {
	ids := newIDChecker(d, "endpoint")
	for i, e := range entries {
		ids.check(i, e.ID)
		if outOfService(e.InService) {
			p.cfg.EndpointsOutOfService[fleet.EndpointID(e.ID)] = true
		}
	}
}

func outOfService(inService *bool) bool { return inService != nil && !*inService }
