package simulation

// watch is a read that waits for a key to change.
type watch struct {
	node  *node
	id    int64
	key   string
	after int64
}
