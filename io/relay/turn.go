package relay

import "context"

// turn is the time in which this host asks others. It ends when the host has to read the store itself.
type turn struct {
	ctx context.Context
	end context.CancelFunc
}

func newTurn() turn {
	ctx, end := context.WithCancel(context.Background())
	return turn{ctx: ctx, end: end}
}
