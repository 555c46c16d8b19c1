// Package tcpconn reads the kernel's state of TCP connections.
package tcpconn

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of written bytes that the other side has not acknowledged, or -1 if it
// is not known.
func Unacknowledged(conn syscall.Conn) int {
	n := -1
	raw, err := conn.SyscallConn()
	if err != nil {
		return n
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		if queued, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			n = queued
		}
	})
	return n
}

// Acknowledged returns the number of bytes that the other side has acknowledged since the connection was opened, with the
// SYN as one, or -1 if it is not known.
func Acknowledged(conn syscall.Conn) int64 {
	n := int64(-1)
	raw, err := conn.SyscallConn()
	if err != nil {
		return n
	}
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Bytes_acked > 0 { // else the kernel does not count them
			n = int64(info.Bytes_acked)
		}
	})
	return n
}
