// Package router assembles one router process: the core, a deterministic state machine
// owned by one goroutine, and the servers and clients that do its I/O.
//
// All inputs are events in one bounded channel. The event loop passes each event to the
// core with the current time and executes the actions that the core returns, none of
// which blocks. Other goroutines read the core's state only with functions that the event
// loop runs between two steps.
package router
