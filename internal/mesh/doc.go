// Package mesh implements full-mesh status dissemination between the gateways of a fleet:
// membership, a timeout-based failure detector, each gateway's in-flight requests and failure
// reports, and the age of its copy of the platform's store.
//
// Every gateway periodically sends its Status to every other one. A Status is a complete
// snapshot that replaces the previous one, so a lost or delayed Status only delays the update.
// The recent changes of the store in some Status messages are the exception; a peer that missed
// them can pull them. Members are learned from seeds, at their control addresses, and from the
// Hello in a Status of an unknown gateway.
//
// In large fleets, a Status with recent changes is broadcast to the sender's data centre and to a
// few relays in each of the others, which forward it. Readers of the store and relays are
// ranked by rendezvous hashing, so that all gateways with the same members agree on the order.
//
// The package does no I/O and reads no clock.
package mesh
