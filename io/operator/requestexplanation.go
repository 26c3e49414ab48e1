package operator

import "time"

// requestExplanation is the entry of a deduplication table for one request id.
type requestExplanation struct {
	ID        string
	Server    string
	Unit      string
	StartedAt time.Time `json:"BeganAt"`
	Outcome   string
}
