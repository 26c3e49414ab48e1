package simulation

// activeKey is the server that is running requests for a key, and the number of those requests.
type activeKey struct {
	server   string
	requests int
}
