package operator

import "time"

// requestExplanation describes the dedup entry of a request ID.
type requestExplanation struct {
	ID     string
	Server string
	// Unit is the hash slot of the request and the hash of its key or, without a key, of ID. In "inventario/17#9f3a",
	// inventario is the service, 17 the hash slot and 9f3a the hash in hexadecimal.
	Unit      string
	StartedAt time.Time `json:"BeganAt"`
	// Outcome is what a repeat of the request gets: Answered, or Unknown if no response is stored.
	Outcome string
}
