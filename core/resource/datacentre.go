package resource

// DataCentre declares a data centre and the names of its entry hosts. A replaced entry host takes the name of the
// one it replaces; the names are the voters that let an arbiter act.
type DataCentre struct {
	Name       string
	EntryHosts []string
}

// ResourceName implements [Resource].
func (d DataCentre) ResourceName() string { return d.Name }

func (DataCentre) resource() {}
