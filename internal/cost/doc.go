// Package cost estimates what a request costs an endpoint, learns from the requests that gateways
// observe, and ranks endpoints by the estimated time to the first event.
//
// Load addressed: requests whose costs differ by orders of magnitude, at endpoints whose speed
// changes from one moment to the next. Counts of requests cannot tell ten prompts of 11,800 tokens
// from ten of 800.
//
//   - Prefill time: a line, fixed time plus time per uncached token, fitted per service to the times
//     to the first event. It is the median line, so that stalls, endpoints at an unreported speed and
//     wrong assumptions about cached prefixes do not move it as long as they are a minority.
//   - Output: events per route relative to the length hint, to the maximum and in absolute terms.
//     The three predictions are weighted by how far off each has been on the route.
//   - Requests without token counts, and routes that do not stream: the time itself, per route.
//   - Ranking: Times splits the time to the first event into its components, Choose picks an
//     endpoint. Choose prefers the endpoint that has the shared prefix cached.
//
// The package does no I/O, reads no clock, draws no random numbers and starts no goroutine. Memory is
// bounded. A Model is not safe for concurrent use. Estimate, Times, ServiceTime and Snapshot do not
// change it.
package cost
