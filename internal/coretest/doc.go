// Package coretest is a deterministic simulator of a fleet of cores in one goroutine and
// virtual time, for tests and benchmarks. It passes messages between cores through the
// wire codec, loses, delays, duplicates and reorders them, partitions links, freezes and
// restarts cores, and answers their dispatches with fake endpoints. The same seed gives
// the same run.
//
// The model of the environment is minimal: the platform is a set of values that readers
// see after a delay, and an endpoint is a counter with a service time and a prefix cache.
package coretest
