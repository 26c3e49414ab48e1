// Package announcements records what backend servers have announced in their answers.
package announcements

import (
	"maps"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/roster"
)

const (
	// maxIncarnations bounds the incarnations on record. It is well above the number of backend servers of a deployment that
	// leave or pause within absenceTimeout.
	maxIncarnations = 1024
	// absenceTimeout is how long the announcements of a server that is not in the roster are kept. The server may be
	// missing only because its entry expired during an outage of the store.
	absenceTimeout = 10 * time.Minute
)

// Announcements holds, by incarnation, what backend servers have announced. It is immutable, and the zero value is empty.
type Announcements struct{ byIncarnation map[string]entry }

// WithLeaving returns the announcements after an incarnation said at now that it is leaving. Only the first time counts.
func (a Announcements) WithLeaving(incarnation string, now time.Time) Announcements {
	return a.with(incarnation, func(e entry) entry {
		e.heardAt = now
		if e.leavingSince.IsZero() {
			e.leavingSince = now
		}
		return e
	})
}

// WithPause returns the announcements after an incarnation asked at now for no requests until a time. Of several such
// times the latest counts.
func (a Announcements) WithPause(incarnation string, until, now time.Time) Announcements {
	return a.with(incarnation, func(e entry) entry {
		e.heardAt = now
		if until.After(e.pausedUntil) {
			e.pausedUntil = until
		}
		return e
	})
}

// IsLeaving reports whether an incarnation has said that it is leaving.
func (a Announcements) IsLeaving(incarnation string) bool {
	return !a.byIncarnation[incarnation].leavingSince.IsZero()
}

// PausedUntil returns the time until which an incarnation wants no requests, or the zero time.
func (a Announcements) PausedUntil(incarnation string) time.Time {
	return a.byIncarnation[incarnation].pausedUntil
}

// Len returns the number of incarnations on record.
func (a Announcements) Len() int { return len(a.byIncarnation) }

// AppliedTo returns the roster with the servers marked as leaving that have said so, and as cold until the time that they have said if
// that is later than the roster's. No request may be sent to a leaving server once drainTime has passed since it said so, or
// from the roster's own deadline on if that is earlier.
func (a Announcements) AppliedTo(r roster.Roster, drainTime time.Duration) roster.Roster {
	var changed []instance.Instance
	for incarnation, e := range a.byIncarnation {
		i, ok := r.Find(instance.IDOf(incarnation))
		if !ok || i.Incarnation() != incarnation {
			continue
		}
		if next := e.appliedTo(i, drainTime); next != i {
			changed = append(changed, next)
		}
	}
	return r.With(changed...)
}

// Pruned returns the announcements without those of incarnations that have a successor in the roster or have been
// missing there for long.
func (a Announcements) Pruned(r roster.Roster, now time.Time) Announcements {
	isOver := func(incarnation string, e entry) bool {
		if i, ok := r.Find(instance.IDOf(incarnation)); ok {
			return i.Incarnation() != incarnation || e.leavingSince.IsZero() && !now.Before(e.pausedUntil) && !now.Before(e.coldUntil)
		}
		return now.Sub(e.heardAt) >= absenceTimeout && !now.Before(e.pausedUntil)
	}
	next := maps.Clone(a.byIncarnation)
	maps.DeleteFunc(next, isOver)
	return Announcements{byIncarnation: next}
}

// with returns the announcements with the entry of an incarnation changed. If there are too many, the entry that was
// heard longest ago is dropped.
func (a Announcements) with(incarnation string, change func(entry) entry) Announcements {
	next := make(map[string]entry, len(a.byIncarnation)+1)
	maps.Copy(next, a.byIncarnation)
	if _, ok := next[incarnation]; !ok && len(next) >= maxIncarnations {
		delete(next, a.oldest())
	}
	next[incarnation] = change(next[incarnation])
	return Announcements{byIncarnation: next}
}

// oldest returns the incarnation whose last announcement was heard first.
func (a Announcements) oldest() string {
	oldest := ""
	for incarnation, e := range a.byIncarnation {
		if oldest == "" || e.heardAt.Before(a.byIncarnation[oldest].heardAt) {
			oldest = incarnation
		}
	}
	return oldest
}
