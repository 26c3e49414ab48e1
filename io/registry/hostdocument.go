package registry

import (
	"fmt"
	"net/netip"
)

// maxCapacity is the highest valid capacity of a host, in processors.
const maxCapacity = 1 << 16

// hostDocument is the value of a host's key.
type hostDocument struct {
	// Address is where the host receives other hosts' notifications and requests for store updates.
	Address    netip.AddrPort
	DataCentre string
	// Capacity is the host's CPU limit, in processors.
	Capacity float64
}

// check checks that other hosts can reach the host, and rank it among themselves.
func (d hostDocument) check() error {
	ip := d.Address.Addr()
	switch {
	case !d.Address.IsValid() || d.Address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast():
		return fmt.Errorf("the address %v is not that of a host", d.Address)
	case d.DataCentre == "":
		return fmt.Errorf("the data centre is missing")
	case d.Capacity < 0 || d.Capacity > maxCapacity:
		return fmt.Errorf("the capacity is %v, not from 0 to %d", d.Capacity, maxCapacity)
	}
	return nil
}
