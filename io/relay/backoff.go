package relay

import "time"

// backoff is the retry state of a relaying host whose last request failed.
type backoff struct {
	// failedAt is when the last request failed, and retryAt when the host may be asked again.
	failedAt, retryAt time.Time
	failures          int
	// isUnavailable is set if the host answered that it has no fresh entries, instead of not answering.
	isUnavailable bool
}
