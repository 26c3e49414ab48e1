// Package candidate is an entry host's attempt to become the arbiter of its cell.
package candidate

import (
	"encoding/json"
	"fmt"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/leaderrecord"
	"redwingsill/core/member"
	"redwingsill/core/message"
	"redwingsill/core/platformkey"
	"redwingsill/core/quorum"
	"redwingsill/core/termrecord"
	"redwingsill/core/timing"
)

// Candidate is the state of the attempt. It is immutable.
type Candidate struct {
	name        string
	dataCentre  string
	incarnation int64
	timing      timing.Timing

	requestID int64
	pending   map[int64]callPurpose
	// sentAt is when the newest call to the platform left; restAt is when the next try may start.
	callSentAt time.Time
	retryAt    time.Time
	failures   int

	storeLeaseRevision int64
	// leaseAt is when the newest write of the lease was sent, and takenAt when the lease was taken.
	storeLeaseSentAt  time.Time
	storeLeaseTakenAt time.Time
	storeLease        []byte
	record            termrecord.TermRecord
	isFirstTerm       bool

	// term is the term that members are asked to follow, or 0.
	term           int64
	quorums        quorum.Quorums
	askedAt        time.Time
	candidateSince time.Time
	promises       map[string]promise
}

// New returns a candidate that has not tried yet.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Candidate {
	lease, err := json.Marshal(leaderrecord.LeaderRecord{Holder: name, Incarnation: incarnation})
	if err != nil {
		panic(err)
	}
	return Candidate{name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t, storeLease: lease,
		requestID: now.UnixNano(), pending: map[int64]callPurpose{}, promises: map[string]promise{}}
}

// WithRest returns the candidate that does not try for a while.
func (c Candidate) WithRetryDelay(now time.Time) Candidate {
	c.retryAt = now.Add(c.timing.SilenceTimeout)
	return c
}

// Failures returns the number of calls to the platform that failed in a row.
func (c Candidate) Failures() int { return c.failures }

// Step returns the candidate after an event, and what is to be done. The member is the same host's.
func (c Candidate) Step(e event.Event, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	switch e := e.(type) {
	case event.Ticked:
		return c.tick(m, now)
	case event.KeyRead:
		return c.handleRead(e, m, now)
	case event.KeyWritten:
		return c.handleWritten(e, m, now)
	case event.KeyConflicted:
		if p := c.pending[e.ID]; p != "" {
			c = c.withoutPending(e.ID)
			return c.delayRetry(now), nil
		}
	case event.PlatformFailed:
		if p := c.pending[e.ID]; p != "" {
			c = c.withoutPending(e.ID)
			c.failures++
			return c.delayRetry(now), nil
		}
	case event.Received:
		if f, ok := e.Message.(message.Followed); ok {
			return c.handlePromise(f, now)
		}
	default:
	}
	return c, nil
}

// tick starts a try when the arbiter has been silent, and asks for promises that are missing.
func (c Candidate) tick(m member.Member, now time.Time) (Candidate, []effect.Effect) {
	if c.term != 0 {
		return c.requestPromises(m, now)
	}
	timeout := c.timing.SilenceTimeout + c.successionDelay(m)
	if now.Sub(m.HeartbeatAt()) < timeout || now.Before(c.retryAt) || !c.isMember(m) {
		return c, nil
	}
	if c.canUseReservedTerm(m, now) {
		return c.useReservedTerm(m, now)
	}
	if len(c.pending) > 0 && now.Sub(c.callSentAt) < c.timing.StoreLeaseTTL {
		return c, nil
	}
	return c.call(readStoreLease, func(id int64) effect.Effect {
		return effect.ReadKey{ID: id, Key: c.key(platformkey.Lease), After: -1}
	}, now)
}

// read handles the lease or the term as the platform has it.
func (c Candidate) handleRead(e event.KeyRead, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	p := c.pending[e.ID]
	c = c.withoutPending(e.ID)
	switch p {
	case readStoreLease:
		c.failures = 0
		return c.handleStoreLeaseRead(e, now)
	case readTerm:
		c.failures = 0
		return c.handleTermRead(e, m, now)
	case createStoreLease, writeTerm, renewStoreLease:
	}
	return c, nil
}

func (c Candidate) handleStoreLeaseRead(e event.KeyRead, now time.Time) (Candidate, []effect.Effect) {
	if e.Revision == 0 {
		return c.call(createStoreLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: c.key(platformkey.Lease), Value: c.storeLease, TTL: c.timing.StoreLeaseTTL}
		}, now)
	}
	var stored leaderrecord.LeaderRecord
	if err := json.Unmarshal(e.Value, &stored); err == nil && stored.Holder == c.name && stored.Incarnation == c.incarnation {
		return c.withStoreLease(e.Revision, now)
	}
	return c.delayRetry(now), nil
}

// withLease goes on to the term once the lease is held.
func (c Candidate) withStoreLease(revision int64, now time.Time) (Candidate, []effect.Effect) {
	c.storeLeaseRevision, c.storeLeaseSentAt, c.storeLeaseTakenAt = revision, c.callSentAt, now
	return c.call(readTerm, func(id int64) effect.Effect {
		return effect.ReadKey{ID: id, Key: c.key(platformkey.Term), After: -1}
	}, now)
}

func (c Candidate) handleTermRead(e event.KeyRead, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	last := termrecord.TermRecord{Term: 1 - termrecord.TermsPerRecord}
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &last); err != nil {
			return c.delayRetry(now), nil
		}
	}
	c.isFirstTerm = e.Revision == 0
	writeID := fmt.Sprintf("%s-%d-%d", c.name, c.incarnation, c.requestID)
	c.record = last.Next(c.name, writeID, m.Configuration().DataCentres[c.dataCentre].EntryHosts)
	value, err := json.Marshal(c.record)
	if err != nil {
		panic(err)
	}
	return c.call(writeTerm, func(id int64) effect.Effect {
		return effect.WriteKey{ID: id, Key: c.key(platformkey.Term), Value: value, Revision: e.Revision}
	}, now)
}

func (c Candidate) handleWritten(e event.KeyWritten, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	p := c.pending[e.ID]
	c = c.withoutPending(e.ID)
	switch p {
	case createStoreLease:
		return c.withStoreLease(e.Revision, now)
	case renewStoreLease:
		c.storeLeaseRevision, c.storeLeaseSentAt = e.Revision, c.callSentAt
	case writeTerm:
		c.term, c.quorums, c.candidateSince = c.record.Term, c.record.Quorums, now
		c.promises = map[string]promise{}
		return c.requestPromises(m, now)
	case readStoreLease, readTerm:
	}
	return c, nil
}

func (c Candidate) delayRetry(now time.Time) Candidate {
	c.retryAt = now.Add(c.timing.CandidacyStagger)
	return c
}

// call sends a call to the platform and remembers what it is for.
func (c Candidate) call(p callPurpose, newEffect func(id int64) effect.Effect, now time.Time) (Candidate, []effect.Effect) {
	c.requestID++
	c.pending = map[int64]callPurpose{c.requestID: p}
	c.callSentAt = now
	return c, []effect.Effect{newEffect(c.requestID)}
}

func (c Candidate) withoutPending(id int64) Candidate {
	if c.pending[id] != "" {
		c.pending = map[int64]callPurpose{}
	}
	return c
}

func (c Candidate) key(keyOf func(string) platformkey.Key) string { return string(keyOf(c.dataCentre)) }
