// Package crowd tests gateway processes against callers that do not keep to the published limits. The tests start the real program
// with lowered limits, so that a small crowd shows whether its memory and its descriptors are bounded. They do not run in parallel.
package crowd
