package registry

import (
	"fmt"

	"redwingsill/core/era"
)

// electorateDocument is the stored value that holds the sets of hosts by whose reports coordinators find the store
// unreachable.
type electorateDocument struct {
	// Hosts has the names of the hosts in the set of the coordinator that wrote the value.
	Hosts []string
	// Earlier has the sets of earlier coordinators whose grants may have been in force then.
	Earlier [][]string
	// WriteID differs between writes. It shows whether a write without a response took effect.
	WriteID string `json:"Mark"`
	// Era is the era of the store in which the value was written.
	Era era.Era `json:",omitempty"`
}

// check checks the sets that a coordinator relies on. A set without hosts or with a host twice would be counted wrongly.
func (d electorateDocument) check() error {
	for _, set := range append([][]string{d.Hosts}, d.Earlier...) {
		names := make(map[string]bool, len(set))
		for _, name := range set {
			names[name] = true
		}
		if len(set) == 0 || names[""] || len(names) != len(set) {
			return fmt.Errorf("a set of %d hosts is empty, has a host twice or one without a name", len(set))
		}
	}
	return nil
}
