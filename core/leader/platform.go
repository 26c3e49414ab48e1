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

// callPlatform makes the platform calls that are due, and the request for the monitoring system's verdicts. Without a
// recent majority it deletes the store lease, so that another host can take it.
func (l Leader) callPlatform(now time.Time) (Leader, []effect.Effect) {
	var effects []effect.Effect
	call := func(p callPurpose, newEffect func(id int64) effect.Effect) {
		l.callID++
		l.pending = maps.Clone(l.pending)
		l.pending[l.callID] = p
		effects = append(effects, newEffect(l.callID))
	}
	if now.Sub(l.storeLeaseSentAt) >= l.timing.StoreLeaseRenewal && !l.isPending(renewStoreLease) && l.hasRecentMajority(now) {
		l.storeLeaseSentAt = now
		l.isCreatingStoreLease = l.storeLeaseRevision == 0
		call(renewStoreLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: l.storeLeaseKey(), Value: l.storeLease, ExpectedRevision: l.storeLeaseRevision,
				TTL: l.timing.StoreLeaseTTL}
		})
	}
	if !l.hasRecentMajority(now) && l.storeLeaseRevision != 0 && !l.isPending(renewStoreLease) {
		call(deleteStoreLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: l.storeLeaseKey(), ExpectedRevision: l.storeLeaseRevision}
		})
		l.storeLeaseRevision, l.hasStoreVote = 0, false
	}
	if l.isStoreLeaseUnknown && !l.isPending(readStoreLease) && !now.Before(l.platformRetryAt) {
		call(readStoreLease, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: l.storeLeaseKey(), AfterRevision: -1}
		})
	}
	if !l.isPending(watchConfiguration) && !now.Before(l.platformRetryAt) {
		call(watchConfiguration, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: string(platformkey.Configuration), AfterRevision: l.configurationRevision}
		})
	}
	// A leader without an assignment puts the stored one in force at once. That is safe only when no host can still
	// serve units by an earlier one.
	canReadAssignment := len(l.assignment.HashSlots) > 0 || l.MajoritySince(now).After(l.earlierLeasesEnd)
	if canReadAssignment && !l.isAssignmentRead && !l.isPending(readAssignment) && !now.Before(l.platformRetryAt) {
		call(readAssignment, func(id int64) effect.Effect {
			return effect.ReadKey{ID: id, Key: l.key(platformkey.Assignment), AfterRevision: -1}
		})
	}
	if len(l.quorums) > 1 || !l.hasSoleQuorum(l.entryHosts()) {
		if !l.isPending(readTerm) && !l.isPending(writeTerm) && !now.Before(l.platformRetryAt) {
			call(readTerm, func(id int64) effect.Effect {
				return effect.ReadKey{ID: id, Key: l.key(platformkey.Term), AfterRevision: -1}
			})
		}
	}
	if now.Sub(l.hostsRequestedAt) >= hostListInterval {
		l.hostsRequestedAt = now
		effects = append(effects, effect.ListHosts{})
	}
	if now.Sub(l.verdictsRequestedAt) >= verdictsInterval {
		l.verdictsRequestedAt = now
		effects = append(effects, effect.ReadVerdicts{})
	}
	return l, effects
}

// writeAssignment writes the plan's assignment at the revision that was read last, so that the write fails if the
// assignment has changed since.
func (l Leader) writeAssignment(now time.Time) (Leader, []effect.Effect) {
	value, err := json.Marshal(l.plan.next)
	if err != nil {
		panic(err)
	}
	l.callID++
	l.pending = maps.Clone(l.pending)
	l.pending[l.callID] = writeAssignment
	return l, []effect.Effect{effect.WriteKey{ID: l.callID, Key: l.key(platformkey.Assignment), Value: value,
		ExpectedRevision: l.assignmentRevision}}
}

// handleRead handles the answer to a read.
func (l Leader) handleRead(e event.KeyRead, now time.Time) (Leader, []effect.Effect) {
	purpose := l.pending[e.ID]
	l = l.withoutPending(e.ID)
	if purpose == "" {
		return l, nil
	}
	l.platformAnsweredAt = now
	switch purpose {
	case watchConfiguration:
		l.configurationRevision = max(l.configurationRevision, e.Revision)
		return l.withConfigurationRead(e.Value), nil
	case readAssignment:
		return l.withAssignmentRead(e, now), nil
	case readTerm:
		return l.rewriteTermRecord(e, now)
	case readStoreLease:
		return l.withStoreLeaseRead(e, now), nil
	case writeAssignment, writeTerm, renewStoreLease, deleteStoreLease:
	}
	return l, nil
}

// withConfigurationRead adopts a configuration from the platform if it is newer.
func (l Leader) withConfigurationRead(text []byte) Leader {
	var c configuration.Configuration
	if err := json.Unmarshal(text, &c); err == nil && c.Revision > l.configuration.Revision {
		l.configuration = c
		l.mustBroadcast = true
	}
	return l
}

// withAssignmentRead handles the stored assignment. If the pending write has stored it, the plan is published. If it is
// newer than the one in force, it becomes the plan, because the previous owners may still be serving the units that it
// moves. A leader without an assignment puts it in force at once. An assignment of a later term is ignored.
func (l Leader) withAssignmentRead(e event.KeyRead, now time.Time) Leader {
	l.isAssignmentRead, l.assignmentRevision = true, e.Revision
	var stored assignment.Assignment
	if e.Revision == 0 || json.Unmarshal(e.Value, &stored) != nil {
		return l.withPlanUnwritten()
	}
	if l.plan != nil && l.plan.isWriting && stored.WriteID == l.plan.next.WriteID {
		return l.withPublishedPlan(now)
	}
	if l.versions().HasOlderAssignment(versions.Versions{AssignmentTerm: stored.Term, AssignmentVersion: stored.Version}) {
		if stored.Term > l.term {
			return l.withPlanUnwritten()
		}
		if len(l.assignment.HashSlots) == 0 {
			l.assignment = stored
			return l.withPlanUnwritten()
		}
		l = l.withPlan(stored, now)
		l.hasFencedWrites = false
		return l
	}
	return l.withPlanUnwritten()
}

// withPlanUnwritten marks the plan as not yet written, so that it is written again.
func (l Leader) withPlanUnwritten() Leader {
	if l.plan != nil {
		updated := *l.plan
		updated.isWriting = false
		l.plan = &updated
	}
	return l
}

// handleWritten handles a write that succeeded.
func (l Leader) handleWritten(e event.KeyWritten, now time.Time) Leader {
	purpose := l.pending[e.ID]
	l = l.withoutPending(e.ID)
	if purpose == "" {
		return l
	}
	l.platformAnsweredAt = now
	switch purpose {
	case renewStoreLease:
		l = l.withStoreLease(e.Revision, now)
	case writeAssignment:
		l.assignmentRevision = e.Revision
		return l.withPublishedPlan(now)
	case watchConfiguration, readAssignment, readTerm, writeTerm, readStoreLease, deleteStoreLease:
	}
	return l
}

// handleConflict handles a write that failed because the revision has changed. The assignment is read again, since an
// earlier write of this leader may have changed it.
func (l Leader) handleConflict(id int64, now time.Time) Leader {
	purpose := l.pending[id]
	l = l.withoutPending(id)
	switch purpose {
	case renewStoreLease:
		l.storeLeaseRevision, l.hasStoreVote = 0, false
	case writeAssignment:
		l.isAssignmentRead = false
	case watchConfiguration, readAssignment, readTerm, writeTerm, readStoreLease, deleteStoreLease, "":
	}
	if purpose != "" {
		l.platformAnsweredAt = now
	}
	return l
}

// handleFailure handles a call that failed or got no answer. A write of the assignment or the store lease may have taken
// effect, so its value is read back.
func (l Leader) handleFailure(id int64, now time.Time) Leader {
	purpose := l.pending[id]
	l = l.withoutPending(id)
	switch purpose {
	case writeAssignment:
		l.isAssignmentRead = false
	case renewStoreLease:
		l.isStoreLeaseUnknown = true
	case watchConfiguration, readAssignment, readTerm, writeTerm, readStoreLease, deleteStoreLease, "":
	}
	if purpose != "" {
		l.platformRetryAt = now.Add(l.timing.CandidacyStagger)
	}
	return l
}

func (l Leader) isPending(p callPurpose) bool {
	for _, q := range l.pending {
		if p == q {
			return true
		}
	}
	return false
}

func (l Leader) withoutPending(id int64) Leader {
	if l.pending[id] == "" {
		return l
	}
	l.pending = maps.Clone(l.pending)
	delete(l.pending, id)
	return l
}

func (l Leader) key(keyOf func(string) platformkey.Key) string { return string(keyOf(l.dataCentre)) }
