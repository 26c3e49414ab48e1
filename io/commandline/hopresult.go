package commandline

// hopResult is the cost of one way to a backend server.
type hopResult struct {
	Path                  string
	Requests              int
	RequestsPerSecond     float64
	RequestsForEachCore   float64
	P50Micros             float64
	P99Micros             float64
	AddedP50Micros        float64
	AddedP99Micros        float64
	AllocationsPerRequest float64 `json:"AllocationsPerRequest"`
	BytesPerRequest       float64 `json:"AllocatedBytesPerRequest"`
}
