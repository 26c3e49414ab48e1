package flood

// Report is the figures, ready to be encoded.
type report struct {
	Seed    uint64
	Results []result
}
