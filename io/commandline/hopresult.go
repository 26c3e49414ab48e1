package commandline

// hopResult holds the latency and cost of requests on one path to a backend server. RequestsForEachCore is requests per second
// of processor time. The Added fields are the difference from a direct call. Allocations are those on the heap of the whole
// process.
type hopResult struct {
	Path                     string
	Requests                 int
	RequestsPerSecond        float64
	RequestsForEachCore      float64
	P50Micros                float64
	P99Micros                float64
	AddedP50Micros           float64
	AddedP99Micros           float64
	AllocationsPerRequest    float64 `json:"AllocationsPerRequest"`
	AllocatedBytesPerRequest float64 `json:"AllocatedBytesPerRequest"`
}
