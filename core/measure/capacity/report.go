package capacity

// report is the figures, ready to be encoded.
type report struct {
	Seed   uint64
	Cells  []cellResult
	Memory []memoryResult
	Slopes []slope
}
