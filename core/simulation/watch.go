package simulation

// watch is an open read that is answered on the next change of its key, or after [watchTimeout]. The field after
// holds the revision that the reader already has.
type watch struct {
	node  *node
	id    int64
	key   string
	after int64
}
