// Package coretest is a deterministic simulator of a fleet of cores in one goroutine and
// virtual time, for tests and benchmarks. It passes messages between cores through the
// wire codec, loses, delays, duplicates and reorders them, partitions instances and data
// centres, pauses and restarts cores, and executes their dispatches at simulated endpoints.
// The same seed gives the same run.
//
// The model of the environment is minimal: the platform is a set of values that readers
// see after a delay, and an endpoint is a counter with a service time and a prefix cache.
package coretest
