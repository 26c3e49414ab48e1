package commandline

// hopResult holds the latency and cost of requests on one path to a backend server. The Added fields are the difference from
// the direct path. RequestsForEachCore is requests per second of processor time. Processor time and heap allocations are those
// of the whole process, which also runs the clients, the entry hosts and the backend server.
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
