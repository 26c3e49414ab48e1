package coordination

import (
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/ownership"
)

// divided is a service whose keys have owners.
type divided struct {
	state    ownership.Ownership
	isLoaded bool
	// isSound says that it was found out since when the store was not away.
	isSound  bool
	revision int64
	members  []instance.Instance
	// ends is the grants that have ended since the last step.
	ends []command.Completion
	// ratedAt is when the servers' capacities were last worked out.
	ratedAt time.Time
}
