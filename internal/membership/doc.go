// Package membership decides which of the instances in the platform's list are alive. It is a
// heartbeat failure detector with flap damping. It is unreliable in the sense of Chandra and
// Toueg: it may suspect a live instance, and revises a suspicion when messages arrive again.
//
// A listed instance counts as alive until this instance has direct evidence of its failure:
// heartbeats and requests that stayed unanswered for long enough. A failed instance of the local
// data centre is suspected once no message from it has been received for Period plus
// SuspectAfter, or earlier if requests to it time out. An instance is never suspected within
// MinSilence of its last message. Suspicions that other instances report are no evidence; they
// only start probes earlier.
//
// Instances of other data centres get no heartbeats. They are suspected only after requests that
// timed out, and the suspicion ends after a time even without a message.
//
// Unlisted and suspected are separate states: missing messages do not prove that a process has
// stopped.
//
// The package is deterministic: it does no I/O, reads no clock and starts no goroutine.
package membership
