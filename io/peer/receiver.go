package peer

import (
	"context"

	"redwingsill/core/message"
)

// receiver takes what other hosts send.
type receiver interface {
	// Receive takes a message that wants no answer.
	Receive(from string, m message.Message)
	// Ask takes a request and returns its outcome.
	Ask(ctx context.Context, from string, ask message.Forward) message.Forwarded
}
