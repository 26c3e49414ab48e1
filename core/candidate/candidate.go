// Package candidate implements the attempt of an entry host to become the leader of its group. A candidate takes the
// store lease, reserves a term in the term record, and asks the members for promises to follow it.
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

// Candidate is the state of an entry host's attempt to become the leader. It is immutable.
type Candidate struct {
	name       string
	dataCentre string
	// incarnation identifies the start of the host's process.
	incarnation int64
	timing      timing.Timing

	// callID is the ID of the newest platform call. It starts at the candidate's creation time in Unix nanoseconds, so
	// that the calls of the leaders and candidates of one host have different IDs.
	callID int64
	// pending gives the purpose of the platform call that is still unanswered, by call ID.
	pending map[int64]callPurpose
	// callSentAt is when the newest call to the platform was sent.
	callSentAt time.Time
	// retryAt is when the next attempt may start.
	retryAt time.Time
	// failures is the number of platform calls that failed or got no answer since the last successful read.
	failures int

	// storeLeaseRevision is the revision of the store lease, or 0 if this candidate does not hold it.
	storeLeaseRevision int64
	// storeLeaseSentAt is when the newest successful write of the store lease was sent or, if its answer was lost, the read
	// that found the value.
	storeLeaseSentAt time.Time
	// storeLeaseTakenAt is when this candidate learned that it had taken the store lease.
	storeLeaseTakenAt time.Time
	// storeLease is the value of the store lease that this candidate writes.
	storeLease []byte
	// record is the term record that this candidate has written or is writing.
	record termrecord.TermRecord
	// isFirstTerm is set if the group had no term record before, which means that it has never had a leader.
	isFirstTerm bool

	// term is the term for which promises are requested, or 0.
	term    int64
	quorums quorum.Quorums
	// requestedAt is when promises were last requested.
	requestedAt time.Time
	// candidateSince is when promises were first requested for the term.
	candidateSince time.Time
	// answers gives the newest answer of each member for the term.
	answers map[string]answer
}

// New returns a candidate that has made no attempt yet.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Candidate {
	storeLease, err := json.Marshal(leaderrecord.LeaderRecord{Holder: name, Incarnation: incarnation})
	if err != nil {
		panic(err)
	}
	return Candidate{name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t, storeLease: storeLease,
		callID: now.UnixNano(), pending: map[int64]callPurpose{}, answers: map[string]answer{}}
}

// WithRetryDelay returns the candidate with its next attempt delayed by the silence timeout.
func (c Candidate) WithRetryDelay(now time.Time) Candidate {
	c.retryAt = now.Add(c.timing.SilenceTimeout)
	return c
}

// Failures returns the number of platform calls that failed or got no answer since the last successful read.
func (c Candidate) Failures() int { return c.failures }

// Step returns the candidate after an event and the resulting effects. m is the member state of the same host.
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
			return c.withRetryAfterStagger(now), nil
		}
	case event.PlatformFailed:
		if p := c.pending[e.ID]; p != "" {
			c = c.withoutPending(e.ID)
			c.failures++
			return c.withRetryAfterStagger(now), nil
		}
	case event.MessageReceived:
		if f, ok := e.Message.(message.Followed); ok {
			return c.handleFollowed(f, now)
		}
	default:
	}
	return c, nil
}

// tick starts an attempt when the leader is silent, and repeats requests for missing promises. It uses a reserved term
// if the platform does not answer.
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
		return effect.ReadKey{ID: id, Key: c.key(platformkey.StoreLease), AfterRevision: -1}
	}, now)
}

// handleRead handles the answer to a read of the store lease or the term record.
func (c Candidate) handleRead(e event.KeyRead, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	purpose := c.pending[e.ID]
	c = c.withoutPending(e.ID)
	switch purpose {
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

// handleStoreLeaseRead takes the store lease if nobody holds it. A lease that this incarnation of the host has written
// is its own: the answer to that write was lost.
func (c Candidate) handleStoreLeaseRead(e event.KeyRead, now time.Time) (Candidate, []effect.Effect) {
	if e.Revision == 0 {
		return c.call(createStoreLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: c.key(platformkey.StoreLease), Value: c.storeLease, TTL: c.timing.StoreLeaseTTL}
		}, now)
	}
	var stored leaderrecord.LeaderRecord
	if err := json.Unmarshal(e.Value, &stored); err == nil && stored.Holder == c.name && stored.Incarnation == c.incarnation {
		return c.withStoreLease(e.Revision, now)
	}
	return c.withRetryAfterStagger(now), nil
}

// withStoreLease records that the store lease is held and reads the term record.
func (c Candidate) withStoreLease(revision int64, now time.Time) (Candidate, []effect.Effect) {
	c.storeLeaseRevision, c.storeLeaseSentAt, c.storeLeaseTakenAt = revision, c.callSentAt, now
	return c.call(readTerm, func(id int64) effect.Effect {
		return effect.ReadKey{ID: id, Key: c.key(platformkey.Term), AfterRevision: -1}
	}, now)
}

// handleTermRead writes the record that reserves the next terms. The configured entry hosts become its newest set of
// members.
func (c Candidate) handleTermRead(e event.KeyRead, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	// Without a stored record, the next term is 1.
	last := termrecord.TermRecord{Term: 1 - termrecord.TermsPerRecord}
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &last); err != nil {
			return c.withRetryAfterStagger(now), nil
		}
	}
	c.isFirstTerm = e.Revision == 0
	writeID := fmt.Sprintf("%s-%d-%d", c.name, c.incarnation, c.callID)
	c.record = last.Next(c.name, writeID, m.Configuration().DataCentres[c.dataCentre].EntryHosts)
	value, err := json.Marshal(c.record)
	if err != nil {
		panic(err)
	}
	return c.call(writeTerm, func(id int64) effect.Effect {
		return effect.WriteKey{ID: id, Key: c.key(platformkey.Term), Value: value, ExpectedRevision: e.Revision}
	}, now)
}

// handleWritten handles a write that succeeded.
func (c Candidate) handleWritten(e event.KeyWritten, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	purpose := c.pending[e.ID]
	c = c.withoutPending(e.ID)
	switch purpose {
	case createStoreLease:
		return c.withStoreLease(e.Revision, now)
	case renewStoreLease:
		c.storeLeaseRevision, c.storeLeaseSentAt = e.Revision, c.callSentAt
	case writeTerm:
		c.term, c.quorums, c.candidateSince = c.record.Term, c.record.Quorums, now
		c.answers = map[string]answer{}
		return c.requestPromises(m, now)
	case readStoreLease, readTerm:
	}
	return c, nil
}

// withRetryAfterStagger returns the candidate with its next attempt delayed by the candidacy stagger.
func (c Candidate) withRetryAfterStagger(now time.Time) Candidate {
	c.retryAt = now.Add(c.timing.CandidacyStagger)
	return c
}

// call sends a platform call and records its purpose. There is one pending call at a time.
func (c Candidate) call(p callPurpose, newEffect func(id int64) effect.Effect, now time.Time) (Candidate, []effect.Effect) {
	c.callID++
	c.pending = map[int64]callPurpose{c.callID: p}
	c.callSentAt = now
	return c, []effect.Effect{newEffect(c.callID)}
}

func (c Candidate) withoutPending(id int64) Candidate {
	if c.pending[id] != "" {
		c.pending = map[int64]callPurpose{}
	}
	return c
}

func (c Candidate) key(keyOf func(string) platformkey.Key) string { return string(keyOf(c.dataCentre)) }
