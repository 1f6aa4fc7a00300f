// Package core is the deterministic decision state machine of a router.
//
// A Core consumes events (a caller's request, a peer's message, the progress of an
// attempt at an endpoint, a published value, a tick), each with the current time, and
// returns actions. It performs no I/O and uses no clock, goroutine or global random
// source: the same options, seed and events produce the same actions. Step must be
// called from a single goroutine with non-decreasing times, and its actions must be
// carried out in order. The returned slice is valid until the next call of Step.
//
// Contract of the driver, the process that hosts the core:
//
//   - Send may lose, delay, duplicate or reorder messages.
//   - For a Dispatch, the driver must compare NotAfter with the monotonic clock
//     immediately before it writes the first byte of the request to a connection, and
//     report AttemptNotSent if NotAfter has passed. AttemptNotSent is allowed only if
//     no byte was written or if the endpoint itself reported that it did not accept
//     the request.
//   - Each Dispatch is followed by exactly one of AttemptNotSent, AttemptLost or
//     AttemptDone. AttemptStarted precedes AttemptDone.
//   - Each CallerRequest with a new ID leads to exactly one Finish; one with the ID of a
//     request in progress is ignored. Between Dispatch and AttemptDone the driver streams
//     the response to the caller.
//   - After CallerGone the driver continues to read the response of a running attempt
//     until the attempt ends or CancelAttempt is returned. The engine closes this
//     connection when the caller resumes the stream through another router.
package core
