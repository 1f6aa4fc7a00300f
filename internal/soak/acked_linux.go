package soak

import (
	"net"

	"golang.org/x/sys/unix"
)

// ackedBytes returns how many bytes that were written to a connection the other machine's kernel has acknowledged,
// and false if that can't be told.
func ackedBytes(c *net.TCPConn) (uint64, bool) {
	rc, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := rc.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil || infoErr != nil || info.Bytes_acked == 0 {
		return 0, false
	}
	return info.Bytes_acked - 1, true // the SYN counts as one
}

// closedByPeer reports whether a connection without unread bytes has been closed by its other end.
func closedByPeer(c *net.TCPConn) bool {
	rc, err := c.SyscallConn()
	if err != nil {
		return true
	}
	open := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = recvErr == unix.EAGAIN
	})
	return err != nil || !open
}
