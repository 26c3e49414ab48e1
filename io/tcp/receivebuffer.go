package tcp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// ReceiveBuffer returns a function for [net.ListenConfig.Control] that sets SO_RCVBUF of a listener, which accepted connections
// inherit. It bounds what a peer can send before it is read. For 0 bytes the kernel's default stays.
func ReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		if bytes == 0 {
			return nil
		}
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bytes) })
		if err != nil {
			return err
		}
		return optionErr
	}
}
