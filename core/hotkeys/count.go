package hotkeys

// count is the weight of one key. Excess is the weight that may belong to keys that it displaced.
type count struct {
	hash   uint64
	weight float64
	excess float64
}
