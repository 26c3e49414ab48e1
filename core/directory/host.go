package directory

import (
	"cmp"
	"net/netip"
)

// host is one entry host.
type host struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Capacity is the host's share of a processor; hosts with more of it are given duties first.
	Capacity float64
	// hash is that of the name.
	hash uint64
}

// place is where a host stands in the order of a subject: a lower one comes first.
func (h host) place(subject uint64) uint64 {
	// The finalizer of SplitMix64 spreads the combined hashes evenly.
	x := subject ^ h.hash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// isBefore reports whether the host comes before another one in the order of a subject.
func (h host) isBefore(o host, subject uint64) bool {
	return cmp.Or(cmp.Compare(o.Capacity, h.Capacity), cmp.Compare(h.place(subject), o.place(subject)), cmp.Compare(h.Name, o.Name)) < 0
}
