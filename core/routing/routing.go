// Package routing holds one version of the configuration that requests are routed by.
package routing

import (
	"redwingsill/core/backendservice"
	"redwingsill/core/limits"
	"redwingsill/core/routetable"
)

// Routing is one version of the configuration. The zero value is none yet. It is immutable.
type Routing struct {
	// Version rises from one configuration to the next.
	Version  uint64
	Table    routetable.Table
	Services map[string]backendservice.BackendService
	Limits   limits.Limits
}

// IsKnown reports whether there is a configuration.
func (r Routing) IsKnown() bool { return r.Version > 0 }

// Newer returns the one of both that is in force: the one with the higher version.
func (r Routing) Newer(next Routing) Routing {
	if next.Version > r.Version {
		return next
	}
	return r
}
