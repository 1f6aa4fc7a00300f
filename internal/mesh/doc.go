// Package mesh implements status dissemination between the gateways of a fleet: membership, a
// timeout-based failure detector, each gateway's in-flight requests and failure reports, and the age of
// its copy of the platform's store.
//
// Every gateway periodically sends its Status to others: in a small fleet, to every other one. A Status is a
// complete snapshot that replaces the previous one, so a lost or delayed Status only delays the update.
// The recent changes of the store in some Status messages are the exception; a peer that missed
// them can pull them. Members are learned from seeds, at their control addresses, and from the
// Hello in a Status of an unknown gateway.
//
// # Aggregators
//
// In a large fleet, two gateways of each data centre are its aggregators (see roles). The gateways of the data
// centre send them their Status at a high rate, and all other peers only a rare one that keeps them
// members. The first aggregator adds up the requests in flight and the failures that its gateways report,
// sends the sum of its data centre to the aggregators of the others, and the sum of the whole fleet to
// its data centre. Of several sums of one data centre, a receiver uses one, so no request is counted twice.
// A Status with recent changes is broadcast to the sender's data centre and to the aggregators of the
// others, which forward it.
//
// Readers of the store and aggregators are ranked, by rendezvous hashing last, so that all gateways with the
// same members agree on the order. An aggregator and the gateways that it hears from watch each other: one that
// is silent is unresponsive, loses its role and is probed.
//
// The package does no I/O and reads no clock.
package mesh
