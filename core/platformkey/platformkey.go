// Package platformkey names the keys that the system uses in the platform's key-value store, which other packages call
// the store.
package platformkey

// Key is a key in the platform's key-value store.
type Key string

// Configuration is the key of the current configuration.
const Configuration Key = "redwingsill/configuration"

// StoreLease returns the key of the store lease of a data centre's group. The leader holds it; it expires unless the
// leader renews it.
func StoreLease(dataCentre string) Key { return Key("redwingsill/cell/" + dataCentre + "/lease") }

// Term returns the key of the term record of a data centre's group.
func Term(dataCentre string) Key { return Key("redwingsill/cell/" + dataCentre + "/term") }

// Assignment returns the key of a data centre's assignment.
func Assignment(dataCentre string) Key { return Key("redwingsill/cell/" + dataCentre + "/assignment") }
