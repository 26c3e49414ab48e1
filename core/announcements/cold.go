package announcements

import "time"

// WithCold returns the announcements after an incarnation said at now that it is cold until a time. The last such time counts unless
// it is earlier: a server may turn cold again while it is cold.
func (a Announcements) WithCold(incarnation string, until, now time.Time) Announcements {
	return a.with(incarnation, func(e entry) entry {
		e.heardAt = now
		if until.After(e.coldUntil) {
			e.coldUntil = until
		}
		return e
	})
}
