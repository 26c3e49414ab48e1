package coordination

import (
	"context"

	"redwingsill/core/command"
)

// Servers sends commands to backend servers.
type Servers interface {
	// Grant gives a backend server a range of keys.
	Grant(ctx context.Context, g command.Grant) command.Result
	// Release takes a range of keys back. It returns when the work on them has ended, with the state that the server
	// hands over to the next owner.
	Release(ctx context.Context, r command.Release) (command.Result, string)
}
