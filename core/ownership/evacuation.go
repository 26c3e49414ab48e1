package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"redwingsill/core/holding"
	"redwingsill/core/instance"
	"redwingsill/core/keyrange"
)

const (
	// evacuationReserve is how long before the time from which nothing may be sent to an evacuated server the move of its last
	// range begins. It covers a release that waits for running work, which takes a second on a slow server, and that other hosts, whose
	// confirmation of the store's state was older, stop up to 1.6 s before the coordinator's host.
	evacuationReserve = 2 * time.Second
	// minEvacuationHold is the shortest time for which an evacuated server is granted keys. A shorter grant would hardly arrive
	// before the server gets no more requests.
	minEvacuationHold = 200 * time.Millisecond
)

// isEvacuated reports whether the range has keys of a server whose data centre is being evacuated, and all of it has an owner.
func (o Ownership) isEvacuated(r keyrange.Range) bool {
	held := o.keys.In(r)
	return len(held) > 0 && !slices.ContainsFunc(held, func(h holding.Holding) bool { return !o.members[h.Owner].IsEvacuated })
}

// withoutLaterEvacuations returns the planned moves without those of evacuated ranges whose turn has not come at now. Ranges are
// evacuated one after the other, those with the highest load first, at a rate by which the last one begins evacuationReserve
// before the end: a moving range is unserved for a moment, and the coordinator and the targets could not take all at once.
func (o Ownership) withoutLaterEvacuations(planned []holding.Holding, now time.Time) []holding.Holding {
	var evacuated, kept []holding.Holding
	end := time.Time{}
	for _, p := range planned {
		if !o.isEvacuated(p.Range) {
			kept = append(kept, p)
			continue
		}
		evacuated = append(evacuated, p)
		for _, h := range o.keys.In(p.Range) {
			if deadline := o.members[h.Owner].SendDeadline; end.IsZero() || deadline.Before(end) {
				end = deadline
			}
		}
	}
	slices.SortStableFunc(evacuated, func(a, b holding.Holding) int { return cmp.Compare(o.rates.Sum(b.Range), o.rates.Sum(a.Range)) })
	return append(kept, evacuated[:min(len(evacuated), o.evacuationsDue(len(evacuated), end.Sub(now)))]...)
}

// evacuationsDue returns how many of the ranges that are still to be evacuated begin to move now, if nothing may be sent to their
// owners after the given time. It is called once in each WaitingInterval.
func (o Ownership) evacuationsDue(count int, left time.Duration) int {
	steps := float64(left-evacuationReserve) / float64(o.timing.WaitingInterval)
	if steps <= 1 {
		return count
	}
	return int(math.Ceil(float64(count) / steps))
}

// grantHoldTime returns the hold time of a grant that is sent to a server at now, and whether it may be sent. Grants to an evacuated
// server end when it gets no more requests, so that its last keys can then move without a release.
func (o Ownership) grantHoldTime(to instance.Instance, holdTime time.Duration, now time.Time) (time.Duration, bool) {
	if !to.IsEvacuated {
		return holdTime, true
	}
	left := to.SendDeadline.Sub(now)
	return min(holdTime, left), left >= minEvacuationHold
}

// holdTimeOf returns the hold time of a grant that is sent to an incarnation at now, as in grantHoldTime.
func (o Ownership) holdTimeOf(incarnation string, holdTime time.Duration, now time.Time) time.Duration {
	bounded, _ := o.grantHoldTime(o.servers[incarnation].instance, holdTime, now)
	return bounded
}

// isShutOff reports whether nothing may be sent to an incarnation at now. Discovery may have removed it before its data centre was
// evacuated, which then shows by the other servers there.
func (o Ownership) isShutOff(incarnation string, now time.Time) bool {
	s := o.servers[incarnation].instance
	if _, isMember := o.members[incarnation]; isMember || s.IsShutOff(now) {
		return s.IsShutOff(now)
	}
	for _, m := range o.members {
		if m.DataCentre == s.DataCentre && m.IsShutOff(now) {
			return true
		}
	}
	return false
}
