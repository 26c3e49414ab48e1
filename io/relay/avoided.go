package relay

import "time"

// avoided is a host that failed to tell news.
type avoided struct {
	// since is when it failed last, and until how long it is left alone.
	since, until time.Time
	failures     int
	// isTold says that the host answered, and did not know the news.
	isTold bool
}
