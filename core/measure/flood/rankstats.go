package flood

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingsill/core/outcome"
)

// rankStats counts the outcomes of one rank in one run. Times are in microseconds.
type rankStats struct {
	offered       int
	answered      int
	withinTarget  int
	notRun        int
	unknown       int
	responseTimes *hdrhistogram.Histogram
	refusalTimes  *hdrhistogram.Histogram
}

// newRankStats returns empty counters. Times of up to an hour are recorded with three significant digits.
func newRankStats() *rankStats {
	longest := int64(time.Hour / time.Microsecond)
	return &rankStats{responseTimes: hdrhistogram.New(1, longest, 3), refusalTimes: hdrhistogram.New(1, longest, 3)}
}

// record counts a request's outcome and the time from its arrival.
func (s *rankStats) record(o outcome.Outcome, elapsed, target time.Duration) {
	switch o.(type) {
	case outcome.Answered:
		s.answered++
		_ = s.responseTimes.RecordValue(int64(elapsed / time.Microsecond))
		if elapsed <= target {
			s.withinTarget++
		}
	case outcome.NotRun:
		s.notRun++
		_ = s.refusalTimes.RecordValue(int64(elapsed / time.Microsecond))
	case outcome.Unknown:
		s.unknown++
	}
}

// percentileMillis returns a percentile, from 0 to 100, of a histogram of microseconds, in milliseconds.
func percentileMillis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}
