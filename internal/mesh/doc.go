// Package mesh is what one gateway knows of the others: who they are, what they have
// in flight, which endpoints they could not reach, and how recent their knowledge of
// the platform's store is.
//
// Every gateway sends its Status to every other one. A Status is a whole snapshot, so
// a lost or late one costs nothing but time. Members are learned from the control
// addresses of seeds and from whoever sends a Status.
//
// The package has no I/O and no clock.
package mesh
