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

// canvass asks the members that have not answered, renews the lease meanwhile, and gives up in the end.
func (c Candidate) canvass(m member.Member, now time.Time) (Candidate, []effect.Effect) {
	if now.Sub(c.since) > c.timing.Permit || m.Term() > c.term {
		return c.abandon(now)
	}
	var effects []effect.Effect
	if c.leaseRevision != 0 && now.Sub(c.leaseAt) > c.timing.LeaseRenewal && len(c.pending) == 0 {
		c, effects = c.call(renewLease, func(id int64) effect.Effect {
			return effect.WriteKey{ID: id, Key: c.key(platformkey.StoreLease), Value: c.lease, ExpectedRevision: c.leaseRevision,
				TTL: c.timing.LeaseTTL}
		}, now)
	}
	if now.Sub(c.askedAt) < c.timing.Beat/2 && !c.askedAt.IsZero() {
		return c, effects
	}
	c.askedAt = now
	for _, name := range c.quorums.Members() {
		if !c.promises[name].message.Accepted {
			effects = append(effects, effect.Send{To: name, Message: message.Follow{Term: c.term, Candidate: c.name,
				Incarnation: c.incarnation, IsFirstTerm: c.isFirst, SentAt: now, Versions: m.Stamp()}})
		}
	}
	return c, effects
}

// count takes in a member's answer.
func (c Candidate) count(f message.Followed, now time.Time) (Candidate, []effect.Effect) {
	if c.term == 0 || f.Term != c.term {
		return c, nil
	}
	if !f.Accepted && f.HighestTerm > c.term {
		return c.abandon(now)
	}
	promises := make(map[string]promise, len(c.promises)+1)
	for name, p := range c.promises {
		promises[name] = p
	}
	promises[f.Member] = promise{message: f, at: now}
	c.promises = promises
	if c.leaseRevision == 0 {
		c.quorums = c.quorums.WithAll(f.Quorums)
	}
	return c, nil
}

// abandon gives the try up, and the lease with it.
func (c Candidate) abandon(now time.Time) (Candidate, []effect.Effect) {
	var effects []effect.Effect
	if c.leaseRevision != 0 {
		c.sequence++
		effects = append(effects, effect.WriteKey{ID: c.sequence, Key: c.key(platformkey.StoreLease), ExpectedRevision: c.leaseRevision})
	}
	c.term, c.leaseRevision, c.promises = 0, 0, map[string]promise{}
	c.restAt = now.Add(c.timing.Silence)
	return c, effects
}

// Won returns what the candidate knows once a majority follows it. A majority that needs the platform's vote counts only
// after a while, since the permits of earlier arbiters are known to end sooner where members alone suffice.
func (c Candidate) Won(now time.Time) (election.Result, bool) {
	members := func(name string) bool { return c.promises[name].message.Accepted }
	voters := func(name string) bool { return members(name) || name == quorum.Platform && c.leaseRevision != 0 }
	needsVote := !c.quorums.Has(members)
	if c.term == 0 || !c.quorums.Has(voters) || needsVote && now.Sub(c.firstPromise()) < 2*c.timing.Stagger {
		return election.Result{}, false
	}
	v := election.Result{Term: c.term, Quorums: c.quorums, LeaseRevision: c.leaseRevision,
		Lease: c.lease}
	if c.leaseRevision != 0 {
		v.LeaseSince = c.leaseAt
	}
	if needsVote && !c.isFirst {
		v.PermitsEnd = c.takenAt.Add(c.timing.Permit + c.timing.Drift)
	}
	for _, name := range c.quorums.Members() {
		p := c.promises[name]
		if !p.message.Accepted {
			continue
		}
		end := p.at.Add(-p.message.LeaderSilence).Add(c.timing.Permit + c.timing.Drift)
		if end.After(v.PermitsEnd) && !c.isFirst {
			v.PermitsEnd = end
		}
		v.Followed = append(v.Followed, p.message)
	}
	return v, true
}

// firstPromise returns when the first promise came.
func (c Candidate) firstPromise() time.Time {
	var first time.Time
	for _, p := range c.promises {
		if first.IsZero() || p.at.Before(first) {
			first = p.at
		}
	}
	return first
}
