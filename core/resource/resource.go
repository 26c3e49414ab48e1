// Package resource defines the resources that operators declare: data centres, services, backend servers, ranks and
// ownership policies.
package resource

// Resource is a declared resource. The variants are [DataCentre], [Service], [BackendServer], [Rank] and
// [OwnershipPolicy].
//
//sumtype:decl
type Resource interface {
	// ResourceName returns the name, which is unique among the resources of one kind.
	ResourceName() string
	resource()
}

// KindOf returns the value of the field Kind of r in a configuration file.
func KindOf(r Resource) string {
	switch r.(type) {
	case DataCentre:
		return "DataCentre"
	case Service:
		return "Service"
	case BackendServer:
		return "BackendServer"
	case Rank:
		return "Rank"
	case OwnershipPolicy:
		return "OwnershipPolicy"
	}
	return ""
}
