package fleet

import "sort"

// View is what one process currently believes the platform publishes, with the
// indexes that decisions need. It is immutable and safe for concurrent reads.
type View struct {
	Config    *Configuration
	Instances *InstanceList
	Endpoints *EndpointList

	instances   map[InstanceID]*Instance
	endpoints   map[EndpointID]*Endpoint
	byDC        map[DataCentreID][]*Instance
	endpointsDC map[DataCentreID][]*Endpoint
	pools       map[Pool][]*Endpoint
	poolHashes  map[Pool][]uint64
	keys        map[string]WorkspaceID
	instHash    map[InstanceID]uint64
	endHash     map[EndpointID]uint64
}

// NewView indexes the three feeds. Nil arguments count as empty at revision 0.
func NewView(cfg *Configuration, inst *InstanceList, ends *EndpointList) *View {
	v := &View{
		Config: cfg, Instances: inst, Endpoints: ends,
		instances:   map[InstanceID]*Instance{},
		endpoints:   map[EndpointID]*Endpoint{},
		byDC:        map[DataCentreID][]*Instance{},
		endpointsDC: map[DataCentreID][]*Endpoint{},
		pools:       map[Pool][]*Endpoint{},
		poolHashes:  map[Pool][]uint64{},
		keys:        map[string]WorkspaceID{},
		instHash:    map[InstanceID]uint64{},
		endHash:     map[EndpointID]uint64{},
	}
	if v.Config == nil {
		v.Config = &Configuration{}
	}
	if v.Instances == nil {
		v.Instances = &InstanceList{}
	}
	if v.Endpoints == nil {
		v.Endpoints = &EndpointList{}
	}
	v.indexInstances()
	v.indexEndpoints()
	v.indexKeys()
	return v
}

func (v *View) indexInstances() {
	for i := range v.Instances.Instances {
		in := &v.Instances.Instances[i]
		v.instances[in.ID] = in
		v.byDC[in.DataCentre] = append(v.byDC[in.DataCentre], in)
		v.instHash[in.ID] = Hash(string(in.ID))
	}
}

func (v *View) indexEndpoints() {
	for i := range v.Endpoints.Endpoints {
		e := &v.Endpoints.Endpoints[i]
		v.endpoints[e.ID] = e
		v.endHash[e.ID] = Hash(string(e.ID))
		v.endpointsDC[e.DataCentre] = append(v.endpointsDC[e.DataCentre], e)
		p := v.PoolOf(e)
		v.pools[p] = append(v.pools[p], e)
		v.poolHashes[p] = append(v.poolHashes[p], v.endHash[e.ID])
	}
}

func (v *View) indexKeys() {
	for id, w := range v.Config.Workspaces {
		for _, h := range w.KeyHashes {
			v.keys[h] = id
		}
	}
}

// Instance returns the listed instance, or nil.
func (v *View) Instance(id InstanceID) *Instance { return v.instances[id] }

// Endpoint returns the listed endpoint, or nil.
func (v *View) Endpoint(id EndpointID) *Endpoint { return v.endpoints[id] }

// InstancesIn returns the listed instances of a data centre, leaving ones included.
func (v *View) InstancesIn(dc DataCentreID) []*Instance { return v.byDC[dc] }

// EndpointsIn returns the listed endpoints of a data centre.
func (v *View) EndpointsIn(dc DataCentreID) []*Endpoint { return v.endpointsDC[dc] }

// PoolEndpoints returns the endpoints of a pool, in or out of service.
func (v *View) PoolEndpoints(p Pool) []*Endpoint { return v.pools[p] }

// PoolEndpointHashes returns the rendezvous hashes of Members, in the same order.
func (v *View) PoolEndpointHashes(p Pool) []uint64 { return v.poolHashes[p] }

// PoolOf returns the pool to which an endpoint belongs.
func (v *View) PoolOf(e *Endpoint) Pool {
	return Pool{Region: v.Region(e.DataCentre), Model: e.Model, Service: e.Service}
}

// Region returns the region of a data centre, or "" when the configuration does not name it.
func (v *View) Region(dc DataCentreID) RegionID { return v.Config.DataCentres[dc].Region }

// Regions returns the regions that the configuration names, sorted.
func (v *View) Regions() []RegionID {
	seen := map[RegionID]bool{}
	var out []RegionID
	for _, dc := range v.Config.DataCentres {
		if !seen[dc.Region] {
			seen[dc.Region] = true
			out = append(out, dc.Region)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// InService tells whether operators and the platform let an endpoint take new work.
func (v *View) InService(e *Endpoint) bool {
	if e.Leaving || v.Config.EndpointsOutOfService[e.ID] {
		return false
	}
	return !v.Config.DataCentres[e.DataCentre].OutOfService
}

// WorkspaceByKey returns the workspace and plan of a bearer key's hex SHA-256.
func (v *View) WorkspaceByKey(hash string) (Workspace, Plan, bool) {
	id, ok := v.keys[hash]
	if !ok {
		return Workspace{}, Plan{}, false
	}
	w := v.Config.Workspaces[id]
	p, ok := v.Config.Plans[w.Plan]
	return w, p, ok
}

// InstanceHash returns the rendezvous hash of a listed instance.
func (v *View) InstanceHash(id InstanceID) uint64 {
	if h, ok := v.instHash[id]; ok {
		return h
	}
	return Hash(string(id))
}

// EndpointHash returns the rendezvous hash of a listed endpoint.
func (v *View) EndpointHash(id EndpointID) uint64 {
	if h, ok := v.endHash[id]; ok {
		return h
	}
	return Hash(string(id))
}
