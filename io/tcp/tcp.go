// Package tcp sets options of TCP connections.
package tcp

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a control function for net.Dialer: bytes that stay without acknowledgement for so long break the
// connection, so that a silent one is noticed.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}
