package leader

import (
	"encoding/json"
	"maps"
	"time"

	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/platformkey"
	"redwingsill/core/versions"
)

// callPlatform makes the calls that are due.
func (a Leader) callPlatform(now time.Time) (Leader, []effect.Effect) {
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
			return effect.WriteKey{ID: id, Key: a.leaseKey(), Value: a.lease, ExpectedRevision: a.leaseRevision, TTL: a.timing.LeaseTTL}
		})
	}
	if !a.isHeardBy(now) && a.leaseRevision != 0 && !a.isPending(renewLease) {
		call(dropLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: a.leaseKey(), ExpectedRevision: a.leaseRevision}
		})
		a.leaseRevision, a.hasVote = 0, false
	}
	if a.isLeaseUnsure && !a.isPending(readLease) && !now.Before(a.retryAt) {
		call(readLease, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: a.leaseKey(), AfterRevision: -1}
		})
	}
	if !a.isPending(watchConfiguration) && !now.Before(a.retryAt) {
		call(watchConfiguration, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: string(platformkey.Configuration), AfterRevision: a.watched}
		})
	}
	mayRead := len(a.assignment.Slots) > 0 || a.Since(now).After(a.permitsEnd)
	if mayRead && !a.isRead && !a.isPending(readAssignment) && !now.Before(a.retryAt) {
		call(readAssignment, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: a.key(platformkey.Assignment), AfterRevision: -1}
		})
	}
	if len(a.quorums) > 1 || !a.hasQuorum(a.entryHosts()) {
		if !a.isPending(readTerm) && !a.isPending(writeTerm) && !now.Before(a.retryAt) {
			call(readTerm, func(id int64) effect.Effect {
				return effect.ReadKey{ID: id, Key: a.key(platformkey.Term), AfterRevision: -1}
			})
		}
	}
	if now.Sub(a.listedAt) >= hostsInterval {
		a.listedAt = now
		effects = append(effects, effect.ListHosts{})
	}
	if now.Sub(a.heardAt) >= verdictsInterval {
		a.heardAt = now
		effects = append(effects, effect.ReadVerdicts{})
	}
	return a, effects
}

func (a Leader) writeAssignment(now time.Time) (Leader, []effect.Effect) {
	value, err := json.Marshal(a.plan.next)
	if err != nil {
		panic(err)
	}
	a.sequence++
	a.pending = maps.Clone(a.pending)
	a.pending[a.sequence] = writeAssignment
	return a, []effect.Effect{effect.WriteKey{ID: a.sequence, Key: a.key(platformkey.Assignment), Value: value,
		ExpectedRevision: a.assignmentRevision}}
}

func (a Leader) read(e event.KeyRead, now time.Time) (Leader, []effect.Effect) {
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

func (a Leader) withConfigurationText(text []byte) Leader {
	var c configuration.Configuration
	if err := json.Unmarshal(text, &c); err == nil && c.Revision > a.configuration.Revision {
		a.configuration = c
		a.changed = true
	}
	return a
}

// withAssignmentText takes over the platform's assignment. One that is newer than the one in force becomes the plan,
// since the units that it moves may be served by their old owners.
func (a Leader) withAssignmentText(e event.KeyRead, now time.Time) Leader {
	a.isRead, a.assignmentRevision = true, e.Revision
	var kept assignment.Assignment
	if e.Revision == 0 || json.Unmarshal(e.Value, &kept) != nil {
		return a.restart()
	}
	if a.plan != nil && a.plan.isWriting && kept.WriteID == a.plan.next.WriteID {
		return a.published(now)
	}
	if a.stamp().HasOlderAssignment(versions.Versions{AssignmentTerm: kept.Term, AssignmentVersion: kept.Version}) {
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
func (a Leader) restart() Leader {
	if a.plan != nil {
		next := *a.plan
		next.isWriting = false
		a.plan = &next
	}
	return a
}

func (a Leader) written(e event.KeyWritten, now time.Time) Leader {
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
func (a Leader) conflicted(id int64, now time.Time) Leader {
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
func (a Leader) failed(id int64, now time.Time) Leader {
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

func (a Leader) isPending(p purpose) bool {
	for _, q := range a.pending {
		if p == q {
			return true
		}
	}
	return false
}

func (a Leader) answered(id int64) Leader {
	if a.pending[id] == "" {
		return a
	}
	a.pending = maps.Clone(a.pending)
	delete(a.pending, id)
	return a
}

func (a Leader) key(of func(string) platformkey.Key) string { return string(of(a.dataCentre)) }
