// Package feed replicates the platform's three feeds (configuration, instance list and endpoint
// list) among the routers by push-pull gossip with anti-entropy. Gateways, which read the
// platform's store directly, use package published instead.
//
// Each feed is a set of records at a revision. The revision of a feed never decreases within one
// incarnation of an instance. Instances exchange deltas between two revisions, each with a hash of
// the resulting content. An instance that cannot apply a delta, because it is too far behind or its
// content differs, pulls a snapshot.
//
// In each data centre a few instances, its readers, poll the platform. An instance that adopts a
// change pushes the delta to its successors in a de Bruijn graph over the instances of its data
// centre, which reaches all of them in a logarithmic number of hops; readers also push it to one
// instance of each other data centre. Lost pushes are repaired by comparing the revisions in the
// header of every message, and by a periodic exchange of digests (revision and content hash).
//
// If the platform returns different contents at one revision, the content with the higher hash
// wins, so that all instances converge to the same content.
//
// A starting instance queries its peers before it is ready, so that an instance that restarts and
// reads a stale replica of the platform does not become ready with an older configuration than its
// reachable peers have.
//
// The package is deterministic: it does no I/O, reads no clock and starts no goroutine.
package feed
