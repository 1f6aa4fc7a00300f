// Package ownership assigns resources to the routers of a data centre by rendezvous hashing and
// protects each assignment by an ownership lease, which is made up of time-limited votes. A
// resource is the admission control of an endpoint, the data centre's share of a workspace's
// quota, or a slot of idempotency keys.
//
// # Owners and votes
//
// The owner of a resource is the eligible instance with the highest rendezvous weight. The
// instance lists of two routers may differ for seconds, so rendezvous hashing alone could
// yield two owners at once. An owner therefore needs votes, which are time-limited like
// leases. Each listed instance of the data centre is a voter and votes for at most one owner
// of a resource at a time: it answers a Claim with a vote that is valid for the claim's TTL,
// and grants another vote for the same resource only after the first one expired or was
// released by its owner. The owner counts the TTL from the sending of the claim, the voter
// from its receipt and with a margin for the drift of its clock. An owner thus never counts a
// vote that its voter considers expired, whatever messages are lost or delayed and whichever
// process is paused.
//
// A voter keeps its votes in memory. After a restart it grants no votes and may own no
// resources until the longest vote of its previous incarnation must have expired.
//
// # Shares
//
// The VoteShare of an owner is the number of its votes divided by the number of voters. If two
// routers claim the same resource and have the same voters, their shares add up to at most
// one. If their lists differ by k entries, the sum may exceed one by at most k/N, where N is
// the length of the shorter list. An owner uses the part of a resource that UsableFraction
// returns for its share. A key slot cannot be divided; its owner needs a quorum of more than
// two thirds of the voters, see KeySlotOwnedSince.
//
// An instance that announced that it is stopping no longer counts as a voter once its last
// vote for another owner has expired. If it restarts on the other side of a network partition,
// the owner on this side keeps it excluded, and the shares of the two sides may add up to
// 1+1/N. Package admission tolerates this, because it subtracts the load that other owners have
// admitted from an endpoint's limit.
//
// Claims also serve as the heartbeats of the data centre. Package membership decides when
// they are due.
package ownership
