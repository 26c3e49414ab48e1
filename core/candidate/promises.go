package candidate

import (
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/election"
	"redwingsill/core/member"
	"redwingsill/core/message"
	"redwingsill/core/platformkey"
	"redwingsill/core/quorum"
)

// requestPromises asks the members that have not promised yet, at most twice per heartbeat interval, and renews the store
// lease meanwhile. It abandons the attempt after one lease duration, or when this host follows a later term.
func (c Candidate) requestPromises(m member.Member, now time.Time) (Candidate, []effect.Effect) {
	if now.Sub(c.candidateSince) > c.timing.LeaseDuration || m.Term() > c.term {
		return c.abandon(now)
	}
	var effects []effect.Effect
	if c.storeLeaseRevision != 0 && now.Sub(c.storeLeaseSentAt) > c.timing.StoreLeaseRenewal && len(c.pending) == 0 {
		c, effects = c.call(renewStoreLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: c.key(platformkey.StoreLease), Value: c.storeLease, ExpectedRevision: c.storeLeaseRevision,
				TTL: c.timing.StoreLeaseTTL}
		}, now)
	}
	if now.Sub(c.requestedAt) < c.timing.HeartbeatInterval/2 && !c.requestedAt.IsZero() {
		return c, effects
	}
	c.requestedAt = now
	for _, name := range c.quorums.Members() {
		if !c.answers[name].reply.Accepted {
			effects = append(effects, effect.Send{To: name, Message: message.Follow{Term: c.term, Candidate: c.name,
				Incarnation: c.incarnation, IsFirstTerm: c.isFirstTerm, SentAt: now, Versions: m.Versions()}})
		}
	}
	return c, effects
}

// handleFollowed records a member's answer. A refusal by a member that follows a higher term ends the attempt.
func (c Candidate) handleFollowed(reply message.Followed, now time.Time) (Candidate, []effect.Effect) {
	if c.term == 0 || reply.Term != c.term {
		return c, nil
	}
	if !reply.Accepted && reply.HighestTerm > c.term {
		return c.abandon(now)
	}
	answers := make(map[string]answer, len(c.answers)+1)
	for name, a := range c.answers {
		answers[name] = a
	}
	answers[reply.Member] = answer{reply: reply, receivedAt: now}
	c.answers = answers
	if c.storeLeaseRevision == 0 {
		// A candidate without the store lease has not read the term record, which may list newer sets of members.
		c.quorums = c.quorums.WithSets(reply.Quorums)
	}
	return c, nil
}

// abandon ends the attempt, deletes the store lease if it is held, and delays the next attempt by the silence timeout.
func (c Candidate) abandon(now time.Time) (Candidate, []effect.Effect) {
	var effects []effect.Effect
	if c.storeLeaseRevision != 0 {
		// A write without a value deletes the key. The answer is ignored, so the call is not added to c.pending.
		c.callID++
		effects = append(effects, effect.WriteKey{ID: c.callID, Key: c.key(platformkey.StoreLease), ExpectedRevision: c.storeLeaseRevision})
	}
	c.term, c.storeLeaseRevision, c.answers = 0, 0, map[string]answer{}
	c.retryAt = now.Add(c.timing.SilenceTimeout)
	return c, effects
}

// Result returns the result of the election once a majority follows the candidate. A majority that needs the store's
// vote is accepted only two candidacy staggers after the first answer: if the members alone form a majority by then,
// their answers show that the leases of previous leaders end sooner.
func (c Candidate) Result(now time.Time) (election.Result, bool) {
	hasPromised := func(name string) bool { return c.answers[name].reply.Accepted }
	hasVoted := func(name string) bool {
		return hasPromised(name) || name == quorum.StoreVote && c.storeLeaseRevision != 0
	}
	needsStoreVote := !c.quorums.HasMajority(hasPromised)
	if c.term == 0 || !c.quorums.HasMajority(hasVoted) || needsStoreVote && now.Sub(c.firstAnswerAt()) < 2*c.timing.CandidacyStagger {
		return election.Result{}, false
	}
	result := election.Result{Term: c.term, Quorums: c.quorums, StoreLeaseRevision: c.storeLeaseRevision,
		StoreLease: c.storeLease}
	if c.storeLeaseRevision != 0 {
		result.StoreLeaseSentAt = c.storeLeaseSentAt
	}
	if needsStoreVote && !c.isFirstTerm {
		// A previous leader may have had the store's vote until this candidate took the store lease.
		result.EarlierLeasesEnd = c.storeLeaseTakenAt.Add(c.timing.LeaseDuration + c.timing.ClockDrift)
	}
	for _, name := range c.quorums.Members() {
		a := c.answers[name]
		if !a.reply.Accepted {
			continue
		}
		end := a.receivedAt.Add(-a.reply.LeaderSilence).Add(c.timing.LeaseDuration + c.timing.ClockDrift)
		if end.After(result.EarlierLeasesEnd) && !c.isFirstTerm {
			result.EarlierLeasesEnd = end
		}
		result.Promises = append(result.Promises, a.reply)
	}
	return result, true
}

// firstAnswerAt returns when the first answer was received, or the zero time if there is none.
func (c Candidate) firstAnswerAt() time.Time {
	var first time.Time
	for _, a := range c.answers {
		if first.IsZero() || a.receivedAt.Before(first) {
			first = a.receivedAt
		}
	}
	return first
}
