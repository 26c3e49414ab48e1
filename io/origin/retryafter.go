package origin

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// parseRetryAfter returns the time that the Retry-After of a response asks for, in whole seconds, fractions of seconds or as
// a date, and at most maxPause. A date counts from the response's Date, or from now if it has none. It reports whether the
// value is valid.
func parseRetryAfter(header http.Header, now time.Time) (time.Duration, bool) {
	value := strings.TrimSpace(header.Get("Retry-After"))
	if strings.Trim(value, "0123456789.") == "" {
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil && !math.IsInf(seconds, 1) {
			return 0, false
		}
		return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), true
	}
	end, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	if date, err := http.ParseTime(header.Get("Date")); err == nil {
		now = date
	}
	return min(max(0, end.Sub(now)), maxPause), true
}
