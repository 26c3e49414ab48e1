package operator

import "time"

// requestExplanation is the entry of a deduplication table for one request id.
type requestExplanation struct {
	ID      string
	Server  string
	Unit    string
	BeganAt time.Time
	Outcome string
}
