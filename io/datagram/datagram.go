// Package datagram carries short notices between entry hosts over UDP. A notice may be lost or come twice; who sends one
// that matters sends it again.
package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/notification"
)

const (
	// maxDatagram is what an Ethernet frame carries.
	maxDatagram = 1400
	// mostHeld bounds the entries of a list in a datagram.
	mostHeld = 200
)

// Datagram is a socket for notices. Its methods may be called at the same time.
type Datagram struct {
	socket *net.UDPConn
	now    func() time.Time
}

// New returns a socket at a local address, and its clean-up. Errors are an [*Error] of kind Unavailable.
func New(address string, now func() time.Time) (*Datagram, func(), error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, nil, newError("listen at "+address, kind.Invalid, err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, nil, newError("listen at "+address, kind.Unavailable, err)
	}
	return &Datagram{socket: socket, now: now}, func() { _ = socket.Close() }, nil // nothing is lost with a socket that is not needed
}

// Send sends a notice to an address. Errors are an [*Error]; without one the notice may still be lost.
func (d *Datagram) Send(to netip.AddrPort, n notification.Notification) error {
	b := encode(n, d.now())
	if len(b) > maxDatagram {
		return newError("send a datagram", kind.Full, errors.New("the notice is too long"))
	}
	if _, err := d.socket.WriteToUDPAddrPort(b, to); err != nil {
		return newError("send a datagram", kind.Unavailable, err)
	}
	return nil
}

// Receive calls handle with each notice until the context ends. What is not a notice is passed to bad.
func (d *Datagram) Receive(ctx context.Context, handle func(from netip.AddrPort, n notification.Notification), bad func(error)) {
	stop := context.AfterFunc(ctx, func() { _ = d.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	b := make([]byte, 2*maxDatagram)
	for ctx.Err() == nil {
		n, from, err := d.socket.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			bad(newError("receive a datagram", kind.Unavailable, err))
			continue
		}
		received, err := decode(b[:n], d.now())
		if err != nil {
			bad(err)
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), received)
	}
}
