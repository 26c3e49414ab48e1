package loadgenerator

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// tally counts the outcomes of one stream.
type tally struct {
	mu       sync.Mutex
	sent     int
	answered int
	notRun   int
	unknown  int
	// broken counts requests without a valid outcome, for example because the connection failed.
	broken int
	// latencies are those of answered requests, in microseconds with 3 significant digits. Latencies of more than 10
	// minutes are not recorded.
	latencies *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)}
}

// add counts a request with its outcome. The latency took is recorded only for answered requests.
func (t *tally) add(outcome string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch outcome {
	case "Answered":
		t.answered++
		_ = t.latencies.RecordValue(int64(took / time.Microsecond))
	case "NotRun":
		t.notRun++
	case "Unknown":
		t.unknown++
	default:
		t.broken++
	}
}
