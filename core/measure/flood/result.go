package flood

// result is the measured service of one rank in one phase under one policy.
type result struct {
	Deployment string
	Policy     string
	Phase      string
	Rank       string
	// Offered counts arrivals, and Answered answers, in the time that is counted.
	Offered      int
	Answered     int
	WithinTarget int
	// Possible is what the capacity allows of the rank within its target, floors of the others served first.
	Possible       int
	NotRun         int
	Unknown        int
	Waiting        int
	P50Millis      float64
	P99Millis      float64
	P999Millis     float64
	RefusedP99     float64 `json:"RefusedP99Millis"`
	RefusedLongest float64 `json:"RefusedLongestMillis"`
	FloorShare     float64
	ReceivedShare  float64
	Earned         float64
	Earnable       float64
}
