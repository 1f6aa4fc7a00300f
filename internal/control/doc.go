// Package control implements the decision state machine of a gateway process: admission,
// endpoint selection, endpoint health, retry budgets and the replication of the store's data.
//
//   - Replication: the live gateways are ranked, and a few of them read the store; the others
//     receive the changes from peers, which relay them in Status messages or answer pulls.
//   - Admission: routes and API keys are looked up in the local snapshot of the store, whose age is
//     compared with staleness bounds. With StrictRevoke, no API key is accepted from a snapshot that
//     is older than AuthStalenessBound.
//   - Endpoint selection: rendezvous hashing with bounded loads for requests with an affinity;
//     otherwise a random choice weighted by water-filling over the reported loads, which are
//     delayed. The rate of requests to cold endpoints is limited over the whole fleet.
//   - Endpoint health: failed connections mark an endpoint as down until a probe succeeds, with
//     exponential backoff between probes. An endpoint with a high moving average of its failure rate
//     is avoided for a while.
//   - Retry budget: a ratio of retries to requests in a sliding window, plus a constant allowance.
//
// The schedule of reads and relays is designed for a leaving endpoint to receive no new requests two
// seconds after its entry was written, as long as the store answers any gateway.
//
// A State consumes events (store reads, peer messages, results of attempts) and answers queries
// (may a request run, and at which endpoint), each with an explicit time. Side effects are
// queued as actions, which the process drains and executes. The package does no I/O, reads no
// clock and starts no goroutine. A State is not safe for concurrent use; one goroutine owns it.
package control
