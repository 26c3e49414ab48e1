package operator

import "time"

// requestExplanation describes the dedup entry of a request ID.
type requestExplanation struct {
	ID     string
	Server string
	// Unit is the hash slot of the request and the hash of the request's key or, without a key, of ID:
	// "inventario/17#9f3a".
	Unit      string
	StartedAt time.Time `json:"BeganAt"`
	// Outcome is what a repeat of the request gets: Answered, or Unknown if no response is stored.
	Outcome string
}
