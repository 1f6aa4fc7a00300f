// Package callers is the HTTP server for callers.
//
// The handler of a request validates it, posts it to the core as an event, runs the
// attempts that the core dispatches and writes the response. Only the handler's goroutine
// writes to the caller. The core sends it commands through a buffered channel, which
// holds every command that can be outstanding, so the core never blocks on a handler.
//
// The server limits the size and the read time of headers and bodies, the number of
// connections and of requests in progress, and the total memory of all bodies.
package callers
