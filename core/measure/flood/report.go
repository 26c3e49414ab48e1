package flood

// report holds all results in the layout in which they are printed.
type report struct {
	Seed    uint64
	Results []result
}
