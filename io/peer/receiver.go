package peer

import (
	"context"

	"redwingsill/core/message"
)

// receiver handles the messages and forwarded requests of other hosts. from is the name of the sending host.
type receiver interface {
	// Receive handles a message that has no response.
	Receive(from string, m message.Message)
	// ServeForwarded handles a forwarded request and returns its outcome. The ticket of the response need not be set.
	ServeForwarded(ctx context.Context, from string, forward message.Forward) message.Forwarded
}
