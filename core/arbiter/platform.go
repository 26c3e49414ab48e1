package arbiter

import (
	"encoding/json"
	"maps"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/platformkey"
	"redwingsill/core/stamp"
)

// callPlatform makes the calls that are due.
func (a Arbiter) callPlatform(now time.Time) (Arbiter, []effect.Effect) {
	var effects []effect.Effect
	call := func(p purpose, e func(id int64) effect.Effect) {
		a.sequence++
		a.pending = maps.Clone(a.pending)
		a.pending[a.sequence] = p
		effects = append(effects, e(a.sequence))
	}
	if now.Sub(a.leaseTriedAt) >= a.timing.LeaseRenewal && !a.isPending(renewLease) && a.isHeardBy(now) {
		a.leaseTriedAt = now
		a.isCreating = a.leaseRevision == 0
		call(renewLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: a.leaseKey(), Value: a.lease, Revision: a.leaseRevision, TTL: a.timing.LeaseTTL}
		})
	}
	if !a.isHeardBy(now) && a.leaseRevision != 0 && !a.isPending(renewLease) {
		call(dropLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: a.leaseKey(), Revision: a.leaseRevision}
		})
		a.leaseRevision, a.hasVote = 0, false
	}
	if a.isLeaseUnsure && !a.isPending(readLease) && !now.Before(a.retryAt) {
		call(readLease, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: a.leaseKey(), After: -1}
		})
	}
	if !a.isPending(watchConfiguration) && !now.Before(a.retryAt) {
		call(watchConfiguration, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: string(platformkey.Configuration), After: a.watched}
		})
	}
	mayRead := len(a.assignment.Slots) > 0 || a.Since(now).After(a.permitsEnd)
	if mayRead && !a.isRead && !a.isPending(readAssignment) && !now.Before(a.retryAt) {
		call(readAssignment, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: a.key(platformkey.Assignment), After: -1}
		})
	}
	if len(a.quorums) > 1 || !a.hasQuorum(a.entryHosts()) {
		if !a.isPending(readTerm) && !a.isPending(writeTerm) && !now.Before(a.retryAt) {
			call(readTerm, func(id int64) effect.Effect {
				return effect.ReadKey{ID: id, Key: a.key(platformkey.Term), After: -1}
			})
		}
	}
	if now.Sub(a.listedAt) >= hostsInterval {
		a.listedAt = now
		effects = append(effects, effect.ListHosts{})
	}
	if now.Sub(a.heardAt) >= verdictsInterval {
		a.heardAt = now
		effects = append(effects, effect.HearVerdicts{})
	}
	return a, effects
}

func (a Arbiter) writeAssignment(now time.Time) (Arbiter, []effect.Effect) {
	value, err := json.Marshal(a.plan.next)
	if err != nil {
		panic(err)
	}
	a.sequence++
	a.pending = maps.Clone(a.pending)
	a.pending[a.sequence] = writeAssignment
	return a, []effect.Effect{effect.WriteKey{ID: a.sequence, Key: a.key(platformkey.Assignment), Value: value,
		Revision: a.assignmentRevision}}
}

func (a Arbiter) read(e event.KeyRead, now time.Time) (Arbiter, []effect.Effect) {
	p := a.pending[e.ID]
	a = a.answered(e.ID)
	if p == "" {
		return a, nil
	}
	a.platformAt = now
	switch p {
	case watchConfiguration:
		a.watched = max(a.watched, e.Revision)
		return a.withConfigurationText(e.Value), nil
	case readAssignment:
		return a.withAssignmentText(e, now), nil
	case readTerm:
		return a.rewriteTerm(e, now)
	case readLease:
		return a.withLeaseRead(e, now), nil
	case writeAssignment, writeTerm, renewLease, dropLease:
	}
	return a, nil
}

func (a Arbiter) withConfigurationText(text []byte) Arbiter {
	var c configuration.Configuration
	if err := json.Unmarshal(text, &c); err == nil && c.Revision > a.configuration.Revision {
		a.configuration = c
		a.changed = true
	}
	return a
}

// withAssignmentText takes over the platform's assignment. One that is newer than the one in force becomes the plan,
// since the units that it moves may be served by their old owners.
func (a Arbiter) withAssignmentText(e event.KeyRead, now time.Time) Arbiter {
	a.isRead, a.assignmentRevision = true, e.Revision
	var kept assignment.Assignment
	if e.Revision == 0 || json.Unmarshal(e.Value, &kept) != nil {
		return a.restart()
	}
	if a.plan != nil && a.plan.isWriting && kept.WriteID == a.plan.next.WriteID {
		return a.published(now)
	}
	if a.stamp().HasOlderAssignment(stamp.Stamp{AssignmentTerm: kept.Term, AssignmentVersion: kept.Version}) {
		if kept.Term > a.term {
			return a.restart()
		}
		if len(a.assignment.Slots) == 0 {
			a.assignment = kept
			return a.restart()
		}
		a = a.begin(kept, now)
		a.isFenced = false
		return a
	}
	return a.restart()
}

// restart takes a plan back to the stage before its write.
func (a Arbiter) restart() Arbiter {
	if a.plan != nil {
		next := *a.plan
		next.isWriting = false
		a.plan = &next
	}
	return a
}

func (a Arbiter) written(e event.KeyWritten, now time.Time) Arbiter {
	p := a.pending[e.ID]
	a = a.answered(e.ID)
	if p == "" {
		return a
	}
	a.platformAt = now
	switch p {
	case renewLease:
		a = a.withLease(e.Revision, now)
	case writeAssignment:
		a.assignmentRevision = e.Revision
		return a.published(now)
	case watchConfiguration, readAssignment, readTerm, writeTerm, readLease, dropLease:
	}
	return a
}

// conflicted handles a write that lost. Whether it is this arbiter's own earlier write is for reading to tell.
func (a Arbiter) conflicted(id int64, now time.Time) Arbiter {
	p := a.pending[id]
	a = a.answered(id)
	switch p {
	case renewLease:
		a.leaseRevision, a.hasVote = 0, false
	case writeAssignment:
		a.isRead = false
	case watchConfiguration, readAssignment, readTerm, writeTerm, readLease, dropLease, "":
	}
	if p != "" {
		a.platformAt = now
	}
	return a
}

// failed handles a call without an answer. A write may have taken effect, so it is read back.
func (a Arbiter) failed(id int64, now time.Time) Arbiter {
	p := a.pending[id]
	a = a.answered(id)
	switch p {
	case writeAssignment:
		a.isRead = false
	case renewLease:
		a.isLeaseUnsure = true
	case watchConfiguration, readAssignment, readTerm, writeTerm, readLease, dropLease, "":
	}
	if p != "" {
		a.retryAt = now.Add(a.timing.Stagger)
	}
	return a
}

func (a Arbiter) isPending(p purpose) bool {
	for _, q := range a.pending {
		if p == q {
			return true
		}
	}
	return false
}

func (a Arbiter) answered(id int64) Arbiter {
	if a.pending[id] == "" {
		return a
	}
	a.pending = maps.Clone(a.pending)
	delete(a.pending, id)
	return a
}

func (a Arbiter) key(of func(string) platformkey.Key) string { return string(of(a.dataCentre)) }
