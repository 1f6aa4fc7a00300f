// Package contention decides which requests are admitted while a service has fewer slots than
// its callers need. The load it addresses: more requests than the slots of a service can start
// within their latency goals, from a surge of all traffic or of one workspace.
//
// Each gateway runs one Controller per service. Update adapts the share of requests to admit to
// the utilization of the service. Admit orders a request among the gateway's recent ones and
// rejects it if it comes after that share. The package has no I/O, clock, goroutines or locks, and
// its only randomness is a seeded generator that is not used without contention.
package contention
