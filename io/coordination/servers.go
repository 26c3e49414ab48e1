package coordination

import (
	"context"

	"redwingsill/core/order"
)

// Servers carries orders to backend servers.
type Servers interface {
	Grant(ctx context.Context, g order.Grant) order.Result
	// Release returns when the work on the keys has ended, with the state that the owner leaves for the next one.
	Release(ctx context.Context, r order.Release) (order.Result, string)
}
