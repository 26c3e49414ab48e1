package ownership

// loadResult is the distribution of a Zipf load over the servers under one strategy.
type loadResult struct {
	Strategy string
	HotKeys  int
	// Zipf is the exponent of the distribution.
	Zipf float64
	// Imbalance is the busiest server's load divided by the mean load.
	Imbalance float64
	// BestImbalance is a lower bound on the imbalance of any strategy that gives each key one owner.
	BestImbalance float64 `json:"Best"`
	// Moves is the number of moves until the assignment with hot keys is stable, and 0 if there are no hot keys.
	Moves int
}
