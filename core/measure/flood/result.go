package flood

// result is the measured service of one rank in one phase under one policy.
type result struct {
	Deployment string
	Policy     string
	Phase      string
	Rank       string
	// Offered counts the requests that arrive, and Answered the answers that are returned, in the measurement window.
	Offered      int
	Answered     int
	WithinTarget int
	// Possible is the number of answers that the capacity allows for the rank if floors are served first and the rest of the
	// capacity goes to the ranks by worth.
	Possible int
	NotRun   int
	Unknown  int
	// Unfinished is the number of offered requests without any of the outcomes above, but at least 0, as Answered may include
	// requests from the warm-up.
	Unfinished int `json:"Waiting"`
	// P50Millis, P99Millis and P999Millis describe the time from arrival to answer.
	P50Millis  float64
	P99Millis  float64
	P999Millis float64
	// RefusedP99Millis and RefusedMaxMillis describe the time from arrival to refusal.
	RefusedP99Millis float64 `json:"RefusedP99Millis"`
	RefusedMaxMillis float64 `json:"RefusedLongestMillis"`
	// FloorShare is the configured floor, and ReceivedShare the share of the usable capacity that the rank received.
	FloorShare    float64
	ReceivedShare float64
	// Earned is the worth of the answers within target, and Earnable that of Possible.
	Earned   float64
	Earnable float64
}
