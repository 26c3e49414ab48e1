package directory

import (
	"cmp"
	"net/netip"
)

// host is what the directory records of one entry host.
type host struct {
	Name       string
	Address    netip.AddrPort
	DataCentre string
	// Capacity is the processor time that the host may use, in cores. Hosts with a higher capacity rank first.
	Capacity float64
	nameHash uint64
}

// score returns the rendezvous hash of the host for a subject. The lowest score ranks first.
func (h host) score(subjectHash uint64) uint64 {
	// SplitMix64's finalizer distributes the combined hashes evenly.
	x := subjectHash ^ h.nameHash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// ranksBefore reports whether h ranks before o for a subject.
func (h host) ranksBefore(o host, subjectHash uint64) bool {
	return cmp.Or(cmp.Compare(o.Capacity, h.Capacity), cmp.Compare(h.score(subjectHash), o.score(subjectHash)), cmp.Compare(h.Name, o.Name)) < 0
}
