// Package fleet defines the identifiers and records that all other packages share:
// instances, endpoints, data centres, workspaces and plans. It also provides the
// immutable View, which indexes them, and the weight function of the rendezvous hashing
// (highest random weight) that assigns resources to instances.
//
// Published values are immutable. A change is published as a new View.
package fleet
