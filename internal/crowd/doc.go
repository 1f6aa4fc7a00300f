// Package crowd tests gateway processes against callers that do not keep to the published limits, and against endpoints whose answers have
// no end. The tests start the real program, those with callers with lowered limits, so that a small crowd shows whether its memory and its
// descriptors are bounded. They do not run in parallel.
package crowd
