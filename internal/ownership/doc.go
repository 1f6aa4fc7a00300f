// Package ownership assigns resources to the routers of a data centre. A resource is the
// admission control of an endpoint, the data centre's share of a workspace's quota, or a
// slot of idempotency keys.
//
// The owner of a resource is the usable instance with the highest rendezvous weight. The
// instance lists of two routers may differ for seconds, so rendezvous hashing alone could
// yield two owners at once. An owner therefore needs votes, which are time-limited like
// leases. Each listed instance of the data centre is a voter and votes for at most one owner
// of a resource at a time: it answers a Claim with a vote that is valid for the claim's TTL,
// and grants another vote for the same resource only after the first one expired or was
// released by its owner. The owner counts the TTL from the sending of the claim, the voter
// from its receipt. An owner thus never counts a vote that its voter considers expired,
// whatever messages are lost or delayed and whichever process is paused.
//
// The VoteShare of an owner is the number of its votes divided by the number of listed
// instances. If two routers claim the same resource and their lists have the same length,
// their shares add up to at most one. A list that is longer by k of N entries adds at most
// k/N. An instance that announced that it is stopping no longer counts as a voter once its
// last vote has expired. If it restarts on the other side of a network partition, the owner
// on this side keeps it excluded, and 1/N may be used twice. Package admission compensates
// for this by the load that it has not admitted itself.
//
// Claims also serve as the heartbeats of the data centre. Package membership decides when
// they are due.
package ownership
