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

	sequence int64
	pending  map[int64]purpose
	// sentAt is when the newest call to the platform left; restAt is when the next try may start.
	sentAt   time.Time
	restAt   time.Time
	failures int

	leaseRevision int64
	// leaseAt is when the newest write of the lease was sent, and takenAt when the lease was taken.
	leaseAt time.Time
	takenAt time.Time
	lease   []byte
	record  termrecord.TermRecord
	isFirst bool

	// term is the term that members are asked to follow, or 0.
	term     int64
	quorums  quorum.Quorums
	askedAt  time.Time
	since    time.Time
	promises map[string]promise
}

// New returns a candidate that has not tried yet.
func New(name, dataCentre string, incarnation int64, t timing.Timing, now time.Time) Candidate {
	lease, err := json.Marshal(leaderrecord.LeaderRecord{Holder: name, Incarnation: incarnation})
	if err != nil {
		panic(err)
	}
	return Candidate{name: name, dataCentre: dataCentre, incarnation: incarnation, timing: t, lease: lease,
		sequence: now.UnixNano(), pending: map[int64]purpose{}, promises: map[string]promise{}}
}

// WithRest returns the candidate that does not try for a while.
func (c Candidate) WithRest(now time.Time) Candidate {
	c.restAt = now.Add(c.timing.Silence)
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
		return c.read(e, m, now)
	case event.KeyWritten:
		return c.written(e, m, now)
	case event.KeyConflicted:
		if p := c.pending[e.ID]; p != "" {
			c = c.answered(e.ID)
			return c.rest(now), nil
		}
	case event.PlatformFailed:
		if p := c.pending[e.ID]; p != "" {
			c = c.answered(e.ID)
			c.failures++
			return c.rest(now), nil
		}
	case event.MessageReceived:
		if f, ok := e.Message.(message.Followed); ok {
			return c.count(f, now)
		}
	default:
	}
	return c, nil
}

// tick starts a try when the arbiter has been silent, and asks for promises that are missing.
func (c Candidate) tick(m member.Member, now time.Time) (Candidate, []effect.Effect) {
	if c.term != 0 {
		return c.canvass(m, now)
	}
	patience := c.timing.Silence + c.turn(m)
	if now.Sub(m.BeatAt()) < patience || now.Before(c.restAt) || !c.isMember(m) {
		return c, nil
	}
	if c.canSucceed(m, now) {
		return c.succeed(m, now)
	}
	if len(c.pending) > 0 && now.Sub(c.sentAt) < c.timing.LeaseTTL {
		return c, nil
	}
	return c.call(readLease, func(id int64) effect.Effect {
		return effect.ReadKey{ID: id, Key: c.key(platformkey.StoreLease), AfterRevision: -1}
	}, now)
}

// read handles the lease or the term as the platform has it.
func (c Candidate) read(e event.KeyRead, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	p := c.pending[e.ID]
	c = c.answered(e.ID)
	switch p {
	case readLease:
		c.failures = 0
		return c.readLease(e, now)
	case readTerm:
		c.failures = 0
		return c.readTerm(e, m, now)
	case takeLease, writeTerm, renewLease:
	}
	return c, nil
}

func (c Candidate) readLease(e event.KeyRead, now time.Time) (Candidate, []effect.Effect) {
	if e.Revision == 0 {
		return c.call(takeLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: c.key(platformkey.StoreLease), Value: c.lease, TTL: c.timing.LeaseTTL}
		}, now)
	}
	var holder leaderrecord.LeaderRecord
	if err := json.Unmarshal(e.Value, &holder); err == nil && holder.Holder == c.name && holder.Incarnation == c.incarnation {
		return c.withLease(e.Revision, now)
	}
	return c.rest(now), nil
}

// withLease goes on to the term once the lease is held.
func (c Candidate) withLease(revision int64, now time.Time) (Candidate, []effect.Effect) {
	c.leaseRevision, c.leaseAt, c.takenAt = revision, c.sentAt, now
	return c.call(readTerm, func(id int64) effect.Effect {
		return effect.ReadKey{ID: id, Key: c.key(platformkey.Term), AfterRevision: -1}
	}, now)
}

func (c Candidate) readTerm(e event.KeyRead, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	old := termrecord.TermRecord{Term: 1 - termrecord.Block}
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &old); err != nil {
			return c.rest(now), nil
		}
	}
	c.isFirst = e.Revision == 0
	writeID := fmt.Sprintf("%s-%d-%d", c.name, c.incarnation, c.sequence)
	c.record = old.Next(c.name, writeID, m.Configuration().DataCentres[c.dataCentre].EntryHosts)
	value, err := json.Marshal(c.record)
	if err != nil {
		panic(err)
	}
	return c.call(writeTerm, func(id int64) effect.Effect {
		return effect.WriteKey{ID: id, Key: c.key(platformkey.Term), Value: value, ExpectedRevision: e.Revision}
	}, now)
}

func (c Candidate) written(e event.KeyWritten, m member.Member, now time.Time) (Candidate, []effect.Effect) {
	p := c.pending[e.ID]
	c = c.answered(e.ID)
	switch p {
	case takeLease:
		return c.withLease(e.Revision, now)
	case renewLease:
		c.leaseRevision, c.leaseAt = e.Revision, c.sentAt
	case writeTerm:
		c.term, c.quorums, c.since = c.record.Term, c.record.Quorums, now
		c.promises = map[string]promise{}
		return c.canvass(m, now)
	case readLease, readTerm:
	}
	return c, nil
}

func (c Candidate) rest(now time.Time) Candidate {
	c.restAt = now.Add(c.timing.Stagger)
	return c
}

// call sends a call to the platform and remembers what it is for.
func (c Candidate) call(p purpose, make func(id int64) effect.Effect, now time.Time) (Candidate, []effect.Effect) {
	c.sequence++
	c.pending = map[int64]purpose{c.sequence: p}
	c.sentAt = now
	return c, []effect.Effect{make(c.sequence)}
}

func (c Candidate) answered(id int64) Candidate {
	if c.pending[id] != "" {
		c.pending = map[int64]purpose{}
	}
	return c
}

func (c Candidate) key(of func(string) platformkey.Key) string { return string(of(c.dataCentre)) }
