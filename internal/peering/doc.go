// Package peering exchanges frames between routers over QUIC with mutual TLS.
//
// Delivery is best effort and at most once: a frame is dropped if its peer's queue is full or the peer
// cannot be reached, and frames are not ordered. Small frames are sent as datagrams (RFC 9221), larger
// ones as one unidirectional stream each.
//
// Each peer with traffic has one goroutine that sends, and one current connection. Connections are
// opened on demand and used in both directions. A connection on which no packet is received within
// UnresponsiveTimeout after a send is closed and replaced by one from another local port, because a
// network path may drop all packets between two addresses without an error.
package peering
