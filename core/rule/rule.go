// Package rule holds a routing rule.
package rule

import (
	"time"

	"redwingsill/core/destination"
)

// Rule selects requests by host name and path, and sets how they are served.
type Rule struct {
	Name string
	// Host is the host name in the request, in lower case, and Prefix a prefix of its path that begins and ends with a
	// slash. Both select the requests.
	Host   string
	Prefix string
	// IsIdempotent allows a request to run more than once.
	IsIdempotent bool
	// Timeout is the maximum time from the arrival of a request to its deadline. 0 sets no limit.
	Timeout time.Duration
	// Objective is the target response time. A later answer has less value.
	Objective time.Duration
	// MaxAttempts is the maximum number of attempts in which a backend server may run a request. 0 counts as 1.
	MaxAttempts int
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Destinations receive requests by weight. There is at least one.
	Destinations []destination.Destination
}
