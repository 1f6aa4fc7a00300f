package fleet

import "sort"

// View is a snapshot of the configuration, instance list and endpoint list that a process
// has adopted, with lookup indexes. It is immutable and safe for concurrent reads.
type View struct {
	Config    *Configuration
	Instances *InstanceList
	Endpoints *EndpointList

	instances            map[InstanceID]*Instance
	endpoints            map[EndpointID]*Endpoint
	instancesByDC        map[DataCentreID][]*Instance
	endpointsByDC        map[DataCentreID][]*Endpoint
	endpointsByPool      map[Pool][]*Endpoint
	endpointHashesByPool map[Pool][]uint64
	workspaceByKeyHash   map[string]WorkspaceID
	instanceHashes       map[InstanceID]uint64
	endpointHashes       map[EndpointID]uint64
}

// NewView returns a View of the three values. A nil argument stands for an empty value at revision 0.
func NewView(cfg *Configuration, instanceList *InstanceList, endpointList *EndpointList) *View {
	v := &View{
		Config: cfg, Instances: instanceList, Endpoints: endpointList,
		instances:            map[InstanceID]*Instance{},
		endpoints:            map[EndpointID]*Endpoint{},
		instancesByDC:        map[DataCentreID][]*Instance{},
		endpointsByDC:        map[DataCentreID][]*Endpoint{},
		endpointsByPool:      map[Pool][]*Endpoint{},
		endpointHashesByPool: map[Pool][]uint64{},
		workspaceByKeyHash:   map[string]WorkspaceID{},
		instanceHashes:       map[InstanceID]uint64{},
		endpointHashes:       map[EndpointID]uint64{},
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
		v.instancesByDC[in.DataCentre] = append(v.instancesByDC[in.DataCentre], in)
		v.instanceHashes[in.ID] = Hash(string(in.ID))
	}
}

func (v *View) indexEndpoints() {
	for i := range v.Endpoints.Endpoints {
		e := &v.Endpoints.Endpoints[i]
		v.endpoints[e.ID] = e
		v.endpointHashes[e.ID] = Hash(string(e.ID))
		v.endpointsByDC[e.DataCentre] = append(v.endpointsByDC[e.DataCentre], e)
		p := v.PoolOf(e)
		v.endpointsByPool[p] = append(v.endpointsByPool[p], e)
		v.endpointHashesByPool[p] = append(v.endpointHashesByPool[p], v.endpointHashes[e.ID])
	}
}

func (v *View) indexKeys() {
	for id, w := range v.Config.Workspaces {
		for _, h := range w.KeyHashes {
			v.workspaceByKeyHash[h] = id
		}
	}
}

// Instance returns the listed instance with the given ID, or nil.
func (v *View) Instance(id InstanceID) *Instance { return v.instances[id] }

// Endpoint returns the listed endpoint with the given ID, or nil.
func (v *View) Endpoint(id EndpointID) *Endpoint { return v.endpoints[id] }

// InstancesIn returns the listed instances of a data centre, including leaving ones.
func (v *View) InstancesIn(dc DataCentreID) []*Instance { return v.instancesByDC[dc] }

// EndpointsIn returns the listed endpoints of a data centre.
func (v *View) EndpointsIn(dc DataCentreID) []*Endpoint { return v.endpointsByDC[dc] }

// PoolEndpoints returns the endpoints of a pool, including those out of service.
func (v *View) PoolEndpoints(p Pool) []*Endpoint { return v.endpointsByPool[p] }

// PoolEndpointHashes returns the Hash of the ID of each of PoolEndpoints, in the same order. The
// hashes are arguments of Weight.
func (v *View) PoolEndpointHashes(p Pool) []uint64 { return v.endpointHashesByPool[p] }

// PoolOf returns the pool of an endpoint.
func (v *View) PoolOf(e *Endpoint) Pool {
	return Pool{Region: v.Region(e.DataCentre), Model: e.Model, Service: e.Service}
}

// Region returns the region of a data centre, or "" when the configuration does not contain it.
func (v *View) Region(dc DataCentreID) RegionID { return v.Config.DataCentres[dc].Region }

// Regions returns the regions of the configuration, sorted.
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

// InService reports whether an endpoint may receive new requests: it is not leaving, and neither
// the endpoint nor its data centre was taken out of service by an operator.
func (v *View) InService(e *Endpoint) bool {
	if e.Leaving || v.Config.EndpointsOutOfService[e.ID] {
		return false
	}
	return !v.Config.DataCentres[e.DataCentre].OutOfService
}

// WorkspaceByKey returns the workspace and plan of the API key with the given hex SHA-256.
func (v *View) WorkspaceByKey(hash string) (Workspace, Plan, bool) {
	id, ok := v.workspaceByKeyHash[hash]
	if !ok {
		return Workspace{}, Plan{}, false
	}
	w := v.Config.Workspaces[id]
	p, ok := v.Config.Plans[w.Plan]
	return w, p, ok
}

// InstanceHash returns the Hash of an instance's ID.
func (v *View) InstanceHash(id InstanceID) uint64 {
	if h, ok := v.instanceHashes[id]; ok {
		return h
	}
	return Hash(string(id))
}

// EndpointHash returns the Hash of an endpoint's ID.
func (v *View) EndpointHash(id EndpointID) uint64 {
	if h, ok := v.endpointHashes[id]; ok {
		return h
	}
	return Hash(string(id))
}
