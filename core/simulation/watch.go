package simulation

// watch is an open read that is answered when the key's revision exceeds after.
type watch struct {
	node  *node
	id    int64
	key   string
	after int64
}
