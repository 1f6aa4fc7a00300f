package feed

import (
	"sort"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/fleet"
)

// The kinds of record. A record key is "<kind>/<identifier>".
const (
	kindPlan        = "plan"
	kindWorkspace   = "workspace"
	kindBearerKey   = "key" // identifier: workspace ID, slash, hash of the bearer key
	kindDataCentre  = "dc"
	kindEndpointOut = "out" // endpoint taken out of service
	kindInstance    = "instance"
	kindEndpoint    = "endpoint"
)

// ErrInvalidRecord reports a record that cannot be decoded.
var ErrInvalidRecord = errors.New("feed: invalid record")

func putRecord(r records, kind, id string, v any) {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "feed: encode record")) // cannot fail for these plain structs
	}
	r[kind+"/"+id] = b
}

// encodeConfig returns the records of a configuration. Each bearer key is a separate record, so
// that changing one key of a large workspace produces a small delta.
func encodeConfig(c *fleet.Configuration) records {
	r := records{}
	for id, p := range c.Plans {
		putRecord(r, kindPlan, string(id), p)
	}
	for id, w := range c.Workspaces {
		for _, h := range w.KeyHashes {
			r[kindBearerKey+"/"+string(id)+"/"+h] = []byte{}
		}
		w.KeyHashes = nil
		putRecord(r, kindWorkspace, string(id), w)
	}
	for id, d := range c.DataCentres {
		putRecord(r, kindDataCentre, string(id), d)
	}
	for id, outOfService := range c.EndpointsOutOfService {
		if outOfService {
			r[kindEndpointOut+"/"+string(id)] = []byte{}
		}
	}
	return r
}

func encodeInstances(l *fleet.InstanceList) records {
	r := records{}
	for _, in := range l.Instances {
		putRecord(r, kindInstance, string(in.ID), in)
	}
	return r
}

func encodeEndpoints(l *fleet.EndpointList) records {
	r := records{}
	for _, e := range l.Endpoints {
		putRecord(r, kindEndpoint, string(e.ID), e)
	}
	return r
}

// decodeConfig builds the configuration from its records.
func decodeConfig(rev fleet.Revision, r records) (*fleet.Configuration, error) {
	c := &fleet.Configuration{
		Revision:              rev,
		Workspaces:            map[fleet.WorkspaceID]fleet.Workspace{},
		Plans:                 map[fleet.PlanID]fleet.Plan{},
		DataCentres:           map[fleet.DataCentreID]fleet.DataCentre{},
		EndpointsOutOfService: map[fleet.EndpointID]bool{},
	}
	keys := map[fleet.WorkspaceID][]string{}
	for k, v := range r {
		if err := decodeConfigRecord(c, keys, k, v); err != nil {
			return nil, err
		}
	}
	return c, attachBearerKeys(c, keys)
}

func decodeConfigRecord(c *fleet.Configuration, keys map[fleet.WorkspaceID][]string, k string, v []byte) error {
	kind, id, _ := strings.Cut(k, "/")
	switch kind {
	case kindPlan:
		p, err := decodeRecord[fleet.Plan](k, v)
		c.Plans[p.ID] = p
		return checkID(err, k, string(p.ID), id)
	case kindWorkspace:
		w, err := decodeRecord[fleet.Workspace](k, v)
		c.Workspaces[w.ID] = w
		return checkID(err, k, string(w.ID), id)
	case kindDataCentre:
		d, err := decodeRecord[fleet.DataCentre](k, v)
		c.DataCentres[d.ID] = d
		return checkID(err, k, string(d.ID), id)
	case kindEndpointOut:
		c.EndpointsOutOfService[fleet.EndpointID(id)] = true
		return nil
	case kindBearerKey:
		i := strings.LastIndexByte(id, '/')
		if i < 0 {
			return errors.Wrapf(ErrInvalidRecord, "bearer key record %q has no workspace", k)
		}
		w := fleet.WorkspaceID(id[:i])
		keys[w] = append(keys[w], id[i+1:])
		return nil
	default:
		return errors.Wrapf(ErrInvalidRecord, "record %q has an unknown kind", k)
	}
}

// attachBearerKeys sets the sorted hashes of the bearer keys of each workspace.
func attachBearerKeys(c *fleet.Configuration, keys map[fleet.WorkspaceID][]string) error {
	for id, hs := range keys {
		w, ok := c.Workspaces[id]
		if !ok {
			return errors.Wrapf(ErrInvalidRecord, "bearer key of an unknown workspace %q", id)
		}
		sort.Strings(hs)
		w.KeyHashes = hs
		c.Workspaces[id] = w
	}
	return nil
}

func decodeInstances(rev fleet.Revision, r records) (*fleet.InstanceList, error) {
	l := &fleet.InstanceList{Revision: rev, Instances: make([]fleet.Instance, 0, len(r))}
	for k, v := range r {
		in, err := decodeRecord[fleet.Instance](k, v)
		if err := checkID(err, k, kindInstance+"/"+string(in.ID), k); err != nil {
			return nil, err
		}
		l.Instances = append(l.Instances, in)
	}
	fleet.SortInstances(l.Instances)
	return l, nil
}

func decodeEndpoints(rev fleet.Revision, r records) (*fleet.EndpointList, error) {
	l := &fleet.EndpointList{Revision: rev, Endpoints: make([]fleet.Endpoint, 0, len(r))}
	for k, v := range r {
		e, err := decodeRecord[fleet.Endpoint](k, v)
		if err := checkID(err, k, kindEndpoint+"/"+string(e.ID), k); err != nil {
			return nil, err
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	fleet.SortEndpoints(l.Endpoints)
	return l, nil
}

func decodeRecord[T any](key string, b []byte) (T, error) {
	var v T
	if err := cbor.Unmarshal(b, &v); err != nil {
		return v, errors.Wrapf(ErrInvalidRecord, "decode %q: %s", key, err)
	}
	return v, nil
}

// checkID returns err if it is set, and otherwise an error if the identifier in a record's value (got)
// is not the one in its key (want).
func checkID(err error, key, got, want string) error {
	if err != nil {
		return err
	}
	if got != want {
		return errors.Wrapf(ErrInvalidRecord, "record %q holds identifier %q", key, got)
	}
	return nil
}
