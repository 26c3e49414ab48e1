package relay

import "time"

// backoff is the retry state of a relaying host after the last request to it has failed.
type backoff struct {
	// failedAt is when the last request failed, and retryAt when the host may be asked again. failures is the number of
	// failures in a row; those of concurrent requests count once.
	failedAt, retryAt time.Time
	failures          int
	// isUnavailable is set if the host answered that it has no fresh entries, instead of not answering.
	isUnavailable bool
}
