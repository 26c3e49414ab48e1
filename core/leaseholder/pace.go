package leaseholder

import "time"

// The figures by which a backend server's pace is estimated.
const (
	firstService = 10 * time.Millisecond
	smoothing    = 0.05
	warmAnswers  = 20                    // answers after a cold start for each further slot
	shedPause    = 20 * time.Millisecond // pause after a shed answer
	shedRecovery = 0.02                  // slots regained with each answer after shedding
)

// pace is how fast a backend server works and how much may be asked of it at once.
type pace struct {
	mean      time.Duration
	deviation time.Duration
	// limit is the number of slots used; 0 stands for one slot at a cold start.
	limit       float64
	isWarm      bool
	answers     int
	pausedUntil time.Time
}

// service returns the mean time of one request.
func (p pace) service() time.Duration {
	if p.mean == 0 {
		return firstService
	}
	return p.mean
}

// slowService returns a time within which most requests end.
func (p pace) slowService() time.Duration { return p.service() + 2*p.deviation }

// slots returns the number of slots in use at present.
func (p pace) slots(declared int) float64 {
	if p.isWarm {
		return min(max(1, p.limit), float64(declared))
	}
	return min(float64(1+p.answers/warmAnswers), float64(declared))
}

// hasRoom reports whether one more request may be started.
func (p pace) hasRoom(running, declared int, now time.Time) bool {
	return running < int(p.slots(declared)) && !now.Before(p.pausedUntil)
}

// withAnswer returns the pace after a whole answer that took some time.
func (p pace) withAnswer(took time.Duration, declared int) pace {
	if p.mean == 0 {
		p.mean = took
	}
	off := took - p.mean
	p.mean += time.Duration(smoothing * float64(off))
	p.deviation += time.Duration(smoothing * float64(off.Abs()-p.deviation))
	p.answers++
	switch {
	case !p.isWarm && p.answers >= warmAnswers*(declared-1):
		p.isWarm, p.limit = true, float64(declared)
	case p.isWarm:
		p.limit = min(float64(declared), p.limit+shedRecovery)
	}
	return p
}

// withShed returns the pace after the server refused for overload.
func (p pace) withShed(now time.Time) pace {
	if p.isWarm {
		p.limit = max(1, p.limit/2)
	}
	p.pausedUntil = now.Add(shedPause)
	return p
}

// cold returns the pace at a cold start. What is known of the time of a request stays.
func (p pace) cold() pace {
	return pace{mean: p.mean, deviation: p.deviation}
}
