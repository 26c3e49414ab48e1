// Package datagram sends notifications between entry hosts over UDP. A notification may be lost or duplicated; the
// sender retransmits those that must arrive.
package datagram

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/notification"
)

const (
	// maxDatagramBytes bounds the size of a datagram, so that it fits in one Ethernet frame.
	maxDatagramBytes = 1400
	// maxListLength bounds the entries of one list in a datagram. A datagram with more of them fails to decode.
	maxListLength = 200
)

// Socket is a UDP socket for notifications. It is safe for concurrent use.
type Socket struct {
	conn *net.UDPConn
	// now is the clock that converts times to and from the durations that datagrams contain, since the hosts' clocks differ.
	now func() time.Time
}

// New returns a socket bound to a local address and a function that closes it. Each error is an [*Error], of kind
// Invalid for a malformed address and Unavailable otherwise.
func New(address string, now func() time.Time) (*Socket, func(), error) {
	localAddress, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, nil, newError("listen at "+address, kind.Invalid, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(localAddress))
	if err != nil {
		return nil, nil, newError("listen at "+address, kind.Unavailable, err)
	}
	return &Socket{conn: conn, now: now}, func() { _ = conn.Close() }, nil // a UDP socket has no buffered data to lose
}

// Send sends a notification to an address. Each error is an [*Error], of kind Full if the notification is too large and
// Unavailable otherwise. Success does not mean that the notification arrives.
func (s *Socket) Send(to netip.AddrPort, n notification.Notification) error {
	b := encode(n, s.now())
	if len(b) > maxDatagramBytes {
		return newError("send a datagram", kind.Full, fmt.Errorf("a notification of %d bytes exceeds the limit of %d", len(b), maxDatagramBytes))
	}
	if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
		return newError("send a datagram", kind.Unavailable, err)
	}
	return nil
}

// Receive calls handle with each notification until the context is cancelled or the socket is closed. It passes the
// errors of malformed datagrams and of reading to handleError.
func (s *Socket) Receive(ctx context.Context, handle func(from netip.AddrPort, n notification.Notification), handleError func(error)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) }) // a deadline in the past ends the pending read
	defer stop()
	b := make([]byte, 2*maxDatagramBytes) // larger than any datagram that Send sends
	for ctx.Err() == nil {
		length, from, err := s.conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			handleError(newError("receive a datagram", kind.Unavailable, err))
			continue
		}
		received, err := decode(b[:length], s.now())
		if err != nil {
			handleError(err)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), received)
	}
}
