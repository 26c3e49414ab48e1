package flood

// stream is the calm load of one rank, as a share of the fleet's capacity.
type stream struct {
	rank  string
	share float64
	// once says that the work must not repeat, so that its id decides the server.
	once bool
}
