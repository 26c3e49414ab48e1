package resource

// DataCentre declares a data centre and the names of its entry hosts. A replacement host takes the name of the host it
// replaces; the named hosts are the voters whose majority a leader needs. If their number is even, the platform's store
// is one more voter.
type DataCentre struct {
	Name       string
	EntryHosts []string
}

// ResourceName implements [Resource].
func (d DataCentre) ResourceName() string { return d.Name }

func (DataCentre) resource() {}
