// Package routing holds the configuration for routing requests.
package routing

import (
	"redwingsill/core/backendservice"
	"redwingsill/core/limits"
	"redwingsill/core/routetable"
)

// Routing is one version of the routing configuration. The zero value has no configuration. It is immutable.
type Routing struct {
	// Version increases with each configuration, from 1.
	Version  uint64
	Table    routetable.Table
	Services map[string]backendservice.BackendService
	Limits   limits.Limits
}

// IsLoaded reports whether a configuration was loaded.
func (r Routing) IsLoaded() bool { return r.Version > 0 }

// Newer returns the configuration with the higher version, or r if both are equal.
func (r Routing) Newer(next Routing) Routing {
	if next.Version > r.Version {
		return next
	}
	return r
}
