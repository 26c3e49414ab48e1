package hotkeys

// count is the decayed number of requests for one key. Up to overcount of its weight may belong to keys that it
// displaced.
type count struct {
	hash      uint64
	weight    float64
	overcount float64
}
