package ingress

import "time"

const (
	// unconfiguredRetryAfter is sent as Retry-After by a host that has no configuration yet. It is likely to have one by
	// then.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// otherHostRetryAfter is sent as Retry-After by a host that drains, lacks memory for the request body or did not
	// receive it in time. Another host can serve the request at once.
	otherHostRetryAfter = 50 * time.Millisecond
	// expectedTimeRatio is the part of a route's objective that a request is expected to take. The expected time is
	// limited to the range from minExpectedTime to maxExpectedTime.
	expectedTimeRatio = 0.6
	minExpectedTime   = 300 * time.Millisecond
	maxExpectedTime   = 4 * time.Second
	// maxTimeout bounds the timeout that a caller may set.
	maxTimeout = 24 * time.Hour
	// defaultMaxBody bounds a request body, in bytes, if the configuration sets no limit.
	defaultMaxBody = 8 << 20
	// maxUncountedBody is the size in bytes up to which a request body does not count towards the memory of bodies. It is
	// small, since each of thousands of connections may have such a body.
	maxUncountedBody = 4 << 10
	// maxShortBody is the size in bytes up to which a body is read without a decision on the host's link. It has mostly
	// arrived with the head, as it fits into a new connection's first window of 10 packets.
	maxShortBody = 14 << 10
	// assumedHead is the assumed size in bytes of the head of a request or response, with the headers of its packets.
	assumedHead = 600
)
