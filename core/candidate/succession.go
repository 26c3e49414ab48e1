package candidate

import (
	"slices"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/member"
	"redwingsill/core/termrecord"
)

// successionDelay returns how much longer this host waits than the first successor before its attempt.
func (c Candidate) successionDelay(m member.Member) time.Duration {
	names := m.Successors()
	if len(names) == 0 {
		names = m.Configuration().DataCentres[c.dataCentre].EntryHosts
	}
	return time.Duration(max(0, slices.Index(names, c.name))) * c.timing.CandidacyStagger
}

// isMember reports whether the configuration lists this host as an entry host of the data centre.
func (c Candidate) isMember(m member.Member) bool {
	return slices.Contains(m.Configuration().DataCentres[c.dataCentre].EntryHosts, c.name)
}

// canUseReservedTerm reports whether this host may use the term that is reserved for it, because neither its leader nor
// the platform answers. The host waits two candidacy staggers for each host before it in the order of succession. A
// candidate that the host has promised to follow is given the same time to send its first heartbeat.
func (c Candidate) canUseReservedTerm(m member.Member, now time.Time) bool {
	place := slices.Index(m.Successors(), c.name)
	wait := c.timing.SilenceTimeout + time.Duration(place)*2*c.timing.CandidacyStagger
	isPlatformDown := c.failures >= 1 || len(c.pending) > 0 && now.Sub(c.callSentAt) > c.timing.CandidacyStagger
	return place >= 0 && isPlatformDown && !m.IsAbstaining(now) && now.Sub(m.HeartbeatAt()) > wait && now.Sub(m.PromisedAt()) > wait &&
		m.Term() < c.reservedTerm(m, place)
}

// reservedTerm returns the term that the term record reserves for the successor at the given place, counted from 0. The
// record is the one that includes the term that the member follows.
func (c Candidate) reservedTerm(m member.Member, place int) int64 {
	recordedTerm := m.Term() - (m.Term()-1)%termrecord.TermsPerRecord
	return recordedTerm + 1 + int64(place)
}

// useReservedTerm requests promises for the reserved term, without the store lease.
func (c Candidate) useReservedTerm(m member.Member, now time.Time) (Candidate, []effect.Effect) {
	c.term = c.reservedTerm(m, slices.Index(m.Successors(), c.name))
	c.quorums, c.isFirstTerm, c.candidateSince = m.Quorums(), false, now
	c.storeLeaseRevision = 0
	c.answers = map[string]answer{}
	return c.requestPromises(m, now)
}
