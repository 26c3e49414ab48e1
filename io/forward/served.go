package forward

import (
	"time"

	"redwingsill/core/attempt"
	"redwingsill/core/attemptresult"
	"redwingsill/core/placement"
	"redwingsill/core/rule"
	"redwingsill/io/origin"
)

// served is a request under way. Only its own goroutine uses it.
type served struct {
	rule      *rule.Rule
	request   origin.Request
	service   string
	key       int
	objective time.Time
	attempt   attempt.Attempt
	rounds    int
	life      string
	result    attemptresult.Status
	refused   placement.Reason
	err       error
}
