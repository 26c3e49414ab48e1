package ownership_test

// taking is a server's taking of a key: its ID and the token.
type taking struct {
	id    string
	fence int64
}
