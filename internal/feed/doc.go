// Package feed replicates the platform's three feeds (configuration, instance list and endpoint
// list) among the instances by push-pull gossip with anti-entropy.
//
// Each feed is a set of records at a revision. Revisions never decrease within a process.
// Processes exchange deltas between two revisions, each with a hash of the resulting content. A
// process that cannot apply a delta, because it is too far behind or its content differs, pulls a
// snapshot.
//
// In each data centre a few instances, its readers, watch the platform. A process that adopts a
// value pushes the delta to its successors in a de Bruijn graph over the instances of its data
// centre, which reaches all of them in a logarithmic number of hops; readers also push it to one
// instance of each other data centre. Lost pushes are repaired by comparing the revisions in the
// header of every message, and by a periodic exchange of digests (revision and content hash).
//
// If the platform publishes different contents at one revision, the content with the higher hash
// wins, so that all processes converge to the same content.
//
// A starting process queries its peers before it is ready, so that a restart next to a stale
// replica of the platform does not bring an earlier configuration back.
//
// The package is deterministic: it does no I/O, reads no clock and starts no goroutine.
package feed
