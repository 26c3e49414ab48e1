package coordination

import (
	"redwingsill/core/instance"
	"redwingsill/core/ownership"
)

// divided is a service whose keys have owners.
type divided struct {
	state    ownership.Ownership
	isLoaded bool
	revision int64
	members  []instance.Instance
}
