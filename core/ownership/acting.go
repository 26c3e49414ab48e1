package ownership

import "time"

// IsActing reports whether the coordinator may still send commands at now, or may again once it finds the store
// unreachable.
func (o Ownership) IsActing(now time.Time) bool {
	if o.mapState == mapLost {
		return now.Before(o.lostUntil)
	}
	return !o.isDeposed && (now.Before(o.movesUntil.Add(o.timing.OutageDetectionTime)) || o.renewsWithoutStore(now))
}

// maySendGrants reports whether grants may be sent at now. A grant that arrived after the end of the lease could be taken by
// a later incarnation with the owner's ID, which has seen no tokens of the next coordinator.
func (o Ownership) maySendGrants(now time.Time) bool {
	return !now.Add(o.timing.CallTimeout).After(o.movesUntil) || o.renewsWithoutStore(now)
}

// renewsWithoutStore reports whether the coordinator renews its grants at now whether or not its lease has ended, since
// the store is unreachable.
func (o Ownership) renewsWithoutStore(now time.Time) bool {
	return now.Before(o.renewsUntil) && now.Before(o.unreachableUntil)
}

// IsDeposed reports whether a write to the store has failed. Another coordinator may then have taken over.
func (o Ownership) IsDeposed() bool { return o.isDeposed }
