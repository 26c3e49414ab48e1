package operator

import "time"

// requestAnswer explains a request id.
type requestAnswer struct {
	ID      string
	Server  string
	Unit    string
	BeganAt time.Time
	Outcome string
}
