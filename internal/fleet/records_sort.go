package fleet

import "sort"

// SortInstances sorts by ID, as InstanceList requires.
func SortInstances(in []Instance) {
	sort.Slice(in, func(i, j int) bool { return in[i].ID < in[j].ID })
}

// SortEndpoints sorts by ID, as EndpointList requires.
func SortEndpoints(es []Endpoint) {
	sort.Slice(es, func(i, j int) bool { return es[i].ID < es[j].ID })
}
