package coordination

import (
	"context"

	"redwingsill/core/command"
)

// Servers carries orders to backend servers.
type Servers interface {
	Grant(ctx context.Context, g command.Grant) command.Result
	// Release returns when the work on the keys has ended, with the state that the owner leaves for the next one.
	Release(ctx context.Context, r command.Release) (command.Result, string)
}
