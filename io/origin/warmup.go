package origin

import (
	"strconv"
	"time"
)

// maxWarmUp bounds the time for which a server's answer makes it count as cold, against absurd values. A warm-up takes seconds.
const maxWarmUp = time.Minute

// parseWarmUp returns the time for which a server stays cold from the value of its header field, in milliseconds. It is 0 if the
// value can't be read, since a server that is not known to be cold is not limited either.
func parseWarmUp(value string) time.Duration {
	milliseconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(milliseconds > 0) {
		return 0
	}
	if milliseconds > float64(maxWarmUp/time.Millisecond) {
		return maxWarmUp
	}
	return time.Duration(milliseconds * float64(time.Millisecond))
}
