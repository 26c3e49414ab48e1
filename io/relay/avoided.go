package relay

import "time"

// avoided is a host that did not answer.
type avoided struct {
	until    time.Time
	failures int
}
