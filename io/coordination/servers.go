package coordination

import (
	"context"

	"redwingsill/core/command"
)

// Servers sends commands to backend servers.
type Servers interface {
	// Grant grants a range of keys to a backend server, or renews the grant.
	Grant(ctx context.Context, g command.Grant) command.Answer
	// Release asks a backend server to give up a range of keys. It returns when the work on them has ended.
	Release(ctx context.Context, r command.Release) command.Answer
}
