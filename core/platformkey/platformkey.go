// Package platformkey names the keys of the platform's service that the system uses.
package platformkey

// Key is a key of the platform's key-value service.
type Key string

// Configuration is the key of the configuration in force.
const Configuration Key = "redwingsill/configuration"

// Lease returns the key of the lease that a data centre's arbiter holds.
func Lease(dataCentre string) Key { return Key("redwingsill/cell/" + dataCentre + "/lease") }

// Term returns the key of the counter of a data centre's arbiters.
func Term(dataCentre string) Key { return Key("redwingsill/cell/" + dataCentre + "/term") }

// Assignment returns the key of the owners of a data centre's units.
func Assignment(dataCentre string) Key { return Key("redwingsill/cell/" + dataCentre + "/assignment") }
