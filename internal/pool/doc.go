// Package pool disseminates the loads of endpoints among their owners by gossip, so that each owner
// can bound the load of its endpoints to a multiple of the pool's mean. A pool is the set of a
// region's endpoints that serve one model or service.
//
// The gossip is push-pull: each owner periodically sends its newest entries of a pool to a random
// other owner in the pool and gets that owner's newer entries in return. An entry carries a version,
// and the highest version wins; a new owner of an endpoint continues above the versions that it has
// received. The mean is eventually consistent: entries that were not refreshed within their TTL, for
// instance those of a partitioned data centre, count neither in the total load nor in the number of
// endpoints.
package pool
