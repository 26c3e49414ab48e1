// Package rule holds how the requests of one route are served.
package rule

import (
	"time"

	"redwingsill/core/destination"
)

// Rule is one route of the configuration.
type Rule struct {
	Name string
	// Host and Prefix select the requests. The prefix begins and ends with a slash.
	Host   string
	Prefix string
	// MayRepeat says that a request may run more than once.
	MayRepeat bool
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer has its full worth.
	Objective time.Duration
	// MaxAttempts is the most backend servers that one request may be sent to.
	MaxAttempts int
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Destinations share the requests by weight. There is at least one.
	Destinations []destination.Destination
}
