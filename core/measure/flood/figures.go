package flood

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"redwingsill/core/outcome"
)

// figures count one rank in one run.
type figures struct {
	offered  int
	answered int
	within   int
	notRun   int
	unknown  int
	waits    *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

func newFigures() *figures {
	longest := int64(time.Hour / time.Microsecond)
	return &figures{waits: hdrhistogram.New(1, longest, 3), refusals: hdrhistogram.New(1, longest, 3)}
}

func (f *figures) add(o outcome.Outcome, took, target time.Duration) {
	switch o.(type) {
	case outcome.Answered:
		f.answered++
		_ = f.waits.RecordValue(int64(took / time.Microsecond))
		if took <= target {
			f.within++
		}
	case outcome.NotRun:
		f.notRun++
		_ = f.refusals.RecordValue(int64(took / time.Microsecond))
	case outcome.Unknown:
		f.unknown++
	}
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}
