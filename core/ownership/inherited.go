package ownership

import "time"

// WithStoreReachableSince records that since the given time no coordinator can have received reports by which it finds the
// store unreachable. The inherited grants are then known to expire sooner: the last grants of an earlier coordinator arrived
// before the end of its store lease, or were sent before UnreachableTTL had passed since it found the store unreachable, by
// reports that were up to ReportAge old. The store may have ended that lease early, so that its holder counts on it for up to
// LeaseDuration.
func (o Ownership) WithStoreReachableSince(since time.Time) Ownership {
	leasedArrivalsEnd := o.startedAt.Add(o.timing.LeaseDuration)
	unreachableArrivalsEnd := since.Add(o.timing.ReportAge + o.timing.UnreachableTTL + o.timing.CallTimeout)
	o.inheritedArrivalsUntil = earliest(o.inheritedArrivalsUntil, latest(leasedArrivalsEnd, unreachableArrivalsEnd))
	o.inheritedUntil = earliest(o.inheritedUntil, latest(leasedArrivalsEnd.Add(o.timing.onSlowClock(o.timing.HoldTime)), unreachableArrivalsEnd.Add(o.timing.LongestHold())))
	return o
}

// InheritedUntil returns when the last grant of earlier coordinators is certain to have expired, or the zero time if there
// was no earlier coordinator.
func (o Ownership) InheritedUntil() time.Time { return o.inheritedUntil }

// HasInheritedGrants reports whether grants of an earlier coordinator may still be in force at now.
func (o Ownership) HasInheritedGrants(now time.Time) bool { return now.Before(o.inheritedUntil) }

// mayInheritedGrantArrive reports whether a grant of an earlier coordinator may still arrive at now. An incarnation that starts
// under the ID of a range's owner after the range was released would take it.
func (o Ownership) mayInheritedGrantArrive(now time.Time) bool {
	return now.Before(o.inheritedArrivalsUntil)
}
