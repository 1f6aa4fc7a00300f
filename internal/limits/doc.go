// Package limits enforces the rate and concurrency limits of every workspace across all
// routers with token buckets and slot leases, without shared state.
//
// # Shares
//
// A limit is divided evenly among the configured data centres. In each data centre, the
// Owner of the workspace fills token buckets for requests and tokens at the data centre's
// share of the rates, and counts its share of the concurrent requests (slots). An owner uses
// at most a fraction of these that depends on its vote share, the part of the data centre's
// routers that vote for it as owner. Routers that claim the ownership at the same time
// therefore never use more than the data centre's share together. The buckets start empty and
// fill only for time during which the owner held its votes without interruption.
//
// # Borrowed quota
//
// The Borrower of the router that received a request borrows quota for one or more requests
// from the owner. Requests and tokens are spent once and expire after BatchTTL. A slot is
// leased for as long as the request may take, at most MaxHold, and is returned when it is no
// longer needed; the lease is never renewed, so it also ends at a partitioned borrower. A
// request that runs longer than MaxHold no longer counts towards the concurrency limit. A new
// owner lends slots only when every router of the data centre has reported the slots that it
// still holds, or when all earlier leases must have expired.
//
// # Transfers
//
// An owner that runs short of quota requests some from the owners in other data centres. The
// sender subtracts before it replies and the receiver adds each reply once, so that a lost
// message loses quota and a repeated one creates none. Received amounts expire after
// TransferTTL; slots are returned when unused. A partitioned data centre uses its own share.
// At least three quarters of the slots are never transferred: a new owner, which has no record
// of its predecessor's transfers, can lend these at once.
//
// # Bounds
//
// Over any window w, the requests admitted across all routers are at most
//
//	rate * (w + 2*Burst + BatchTTL + TransferTTL) + 2*data centres
//
// and likewise for tokens, plus the size of one request for each data centre and each
// change of owner, because a full bucket admits a request larger than itself and goes
// negative. Slots on lease never exceed the limit; after a limit is lowered, no slot is lent
// until those on lease are below it.
package limits
