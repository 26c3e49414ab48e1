package ownership

// loadResult is how evenly the load of keys drawn by Zipf's law falls on the servers.
type loadResult struct {
	Strategy string
	HotKeys  int
	Zipf     float64
	// Imbalance is the load of the busiest server to the mean.
	Imbalance float64
	// Best is the least imbalance possible while each key has one owner.
	Best  float64
	Moves int
}
