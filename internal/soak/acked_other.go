//go:build !linux

package soak

import "net"

// ackedBytes needs Linux.
func ackedBytes(*net.TCPConn) (uint64, bool) { return 0, false }

// closedByPeer needs Linux.
func closedByPeer(*net.TCPConn) bool { return false }
