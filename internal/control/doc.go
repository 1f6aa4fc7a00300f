// Package control implements the decision state machine of a gateway process: admission,
// endpoint selection, endpoint health, retry budgets and the replication of the store's data.
//
// A State consumes events (store reads, peer messages, results of attempts) and answers queries
// (may a request run, and at which endpoint), each with an explicit time. Side effects are
// queued as actions, which the process drains and executes. The package does no I/O, reads no
// clock and starts no goroutine. A State is not safe for concurrent use; one goroutine owns it.
package control
