package ownership_test

// connectionKey names a coordinator and an incarnation that it has a connection to.
type connectionKey struct {
	from *coordinator
	to   string
}
