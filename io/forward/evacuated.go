package forward

import (
	"slices"

	"redwingsill/core/instance"
)

// maxExcludedBytes bounds the length in bytes of the names of the servers that a slot request excludes because of an evacuation.
// The request must fit into a datagram of 1,400 bytes.
const maxExcludedBytes = 900

// withUnusable returns the excluded incarnations after the server of a slot could not be used. If it is being evacuated, so are
// the others of its data centre, of which a slot server that doesn't know of the evacuation yet would give out one after the
// other.
func (f *Forwarder) withUnusable(excluded []string, to instance.Instance, isKnown bool, incarnation string) []string {
	excluded = append(slices.Clip(excluded), incarnation)
	if !isKnown || !to.IsEvacuated {
		return excluded
	}
	size := 0
	for _, i := range f.roster.Read().OfService(to.Service) {
		name := i.Incarnation()
		if size += len(name); size > maxExcludedBytes {
			break
		}
		if i.IsEvacuated && !slices.Contains(excluded, name) {
			excluded = append(excluded, name)
		} else {
			size -= len(name)
		}
	}
	return excluded
}
