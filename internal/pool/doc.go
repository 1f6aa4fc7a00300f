// Package pool disseminates the loads of endpoints among their owners by gossip, so that each
// owner can bound the load of its endpoints to a multiple of the pool's mean.
//
// The gossip is push-pull among the owners of a region: each periodically sends a digest of
// its newest entries to one random other owner and gets that owner's newer entries in return.
// An entry carries a version, and the highest version wins; a new owner of an endpoint
// continues above the versions that it has received. Entries that were not refreshed within
// their TTL, for instance those of a partitioned data centre, count neither in the total load
// nor in the number of endpoints.
package pool
