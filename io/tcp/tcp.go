// Package tcp sets TCP socket options.
package tcp

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UserTimeout returns a function for [net.Dialer.Control] that sets TCP_USER_TIMEOUT: the kernel closes a connection
// whose sent data stays unacknowledged for longer than d, so that an unresponsive peer is detected.
func UserTimeout(d time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}
