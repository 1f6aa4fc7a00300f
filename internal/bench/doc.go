// Package bench runs whole fleets of routers in a deterministic discrete-event simulation with
// virtual time (package coretest) and measures cache reuse, load skew, control traffic and
// availability under faults. Each router is represented by its core, the state machine without
// I/O of package core. The benchmarks run the two reference deployments of coretest and compare
// the placement of the cores with baseline policies on the same seed. Counts and virtual times
// are deterministic for a seed; measurements of real time and memory are not. bounds.go holds
// the limits that the tests assert.
package bench
