package flood

// stream is the normal load of one rank, as a multiple of the fleet's capacity.
type stream struct {
	rank string
	load float64
	// runsOnce marks requests that must not run twice. Their ID determines the server, so they cannot go to the less loaded of
	// two servers.
	runsOnce bool
}
