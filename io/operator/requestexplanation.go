package operator

import "time"

// requestExplanation is the entry of a dedup table for one request ID.
type requestExplanation struct {
	ID        string
	Server    string
	Unit      string
	StartedAt time.Time `json:"BeganAt"`
	Outcome   string
}
