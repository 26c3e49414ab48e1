package ownership

// moveResult is how many keys change their owner when a server goes or comes.
type moveResult struct {
	Strategy string
	Event    string
	Keys     int
	Moved    int
	Least    int
	// Ratio is Moved to Least.
	Ratio float64
}
