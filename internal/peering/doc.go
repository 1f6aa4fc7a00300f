// Package peering exchanges frames between routers over QUIC with mutual TLS.
//
// Delivery is at most once and best effort: a frame is dropped if its queue is full or its peer
// cannot be reached. Small frames are sent as datagrams (RFC 9221), larger ones as one
// unidirectional stream each.
//
// Each peer with traffic has one goroutine that sends, and one current connection. Connections are
// opened on demand and used in both directions. A connection on which no packet is received within
// a timeout after a send is closed and replaced over another port, because a network path may drop
// all packets of a connection without an error while a new connection works.
package peering
