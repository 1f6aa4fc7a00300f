// Package crasher recognises queries of death: requests that crash the endpoint processes that run them, by their whole content, or by
// what they share with others.
//
// An endpoint process that ends takes all its requests with it: one that is deadly and all that ran beside it. A Detector
// collects which requests were broken off by which ends, from all gateways of a fleet, and tells them apart.
//
// By content, for a request that is repeated (decision.go, settle.go, chance.go):
//
//   - A request that completes, or gets further than at its former ends, is cleared of those ends at that software
//     version.
//   - A request that was broken off by minEnds ends without getting any further is the deadly one if no other suspect
//     shares its ends, and if so many ends cannot be due to chance: other ends of processes in the same time make
//     chance more likely. Until that is clear, it waits.
//   - The ends of a deadly request no longer count against the requests that ran beside it.
//   - A request with one end less than minEnds is on trial: it runs where few other requests run, one attempt in
//     trialTime, so that the next end tells it from the others.
//
// A block ends after a time, and for software versions at which the request has ended no process. It then takes one
// more end to block the request again, for longer.
//
// By traits, for requests of which no two are alike (shared.go, candidate.go, causes.go, cause.go): the parts of the
// prompt and the model.
//
//   - An end counts against all traits of the requests that it broke off, until a request with the trait completes at
//     that software version, at any gateway.
//   - A trait with enough ends, at several times and under several contents, is the cause if so many ends cannot be due
//     to chance and no other trait fits about as well. Traits that always come together are the cause together.
//   - Requests with a cause run nowhere. There are no probes: a completion, a refuted end or an operator ends a block.
//
// Invariants: a block of a content rests only on ends of processes that ran this very content of the same workspace. A
// block of a cause refuses only requests with all of its traits; it refuses those of another caller than the one whose requests
// explain the ends only after minOtherEnds ends without this caller, and never for a trait that is known to have
// completed within sharedTTL.
//
// The package does no I/O and reads no clock. A Detector is not safe for concurrent use.
package crasher
