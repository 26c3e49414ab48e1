package watch

import "time"

// firstPause and mostPause bound the pause after a failure: news must come within a second or two of the store's return,
// and calls that are refused cost as much as others.
const (
	firstPause = 100 * time.Millisecond
	mostPause  = 400 * time.Millisecond
)
