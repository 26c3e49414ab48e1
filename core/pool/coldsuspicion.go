package pool

import (
	"cmp"
	"slices"
	"time"

	"redwingsill/core/attemptresult"
)

const (
	// suspectFactor is how many times its usual time a server's answers must take for it to be suspected of having turned cold. A cold
	// server is about twice as slow.
	suspectFactor = 1.5
	// minSuspectAnswers answers in a row over minSuspectTime must have been that slow. The machines of many servers are slower for
	// 400 ms at a time.
	minSuspectAnswers = 3
	minSuspectTime    = 600 * time.Millisecond
	// maxSuspectTime is the time after which a server that stays slow counts as slow for another reason. A warm-up takes some seconds.
	maxSuspectTime = 10 * time.Second
	// usualTimeWeight is the weight of the newest answer in the usual time of a server.
	usualTimeWeight = 0.05
)

// withColdEvidence returns the server after an attempt that took some time. The time is compared with the usual one of the server
// itself, to which slow answers don't contribute: the mean of the service follows when many servers turn cold together. Refusals and
// failures count as evidence too, since a cold server that has too much to do sheds requests or fails.
func (s server) withColdEvidence(status attemptresult.Status, took time.Duration, now time.Time) server {
	switch status {
	case attemptresult.Answered:
		if s.usualTime == 0 || s.slowAnswers > 0 && now.Sub(s.slowSince) >= maxSuspectTime {
			s.usualTime = took
		}
		if float64(took) < suspectFactor*float64(s.usualTime) {
			s.usualTime += time.Duration(usualTimeWeight * float64(took-s.usualTime))
			s.slowAnswers = 0
			return s
		}
	case attemptresult.Failed, attemptresult.Refused:
	case attemptresult.Unsent, attemptresult.NotOwner, attemptresult.Unreachable, attemptresult.TimedOut, attemptresult.Left, attemptresult.Replaced:
		return s
	}
	if s.slowAnswers == 0 {
		s.slowSince = now
	}
	s.slowAnswers++
	s.lastSlowAt = now
	return s
}

// ColdSuspects returns the incarnations of the servers that may have turned cold unnoticed, the most suspect one first. There are
// none if the rate of requests to cold servers is not bounded.
func (p Pool) ColdSuspects(now time.Time) []string {
	var suspects []*server
	for _, s := range p.servers {
		if s.instance.ColdRate > 0 && !s.instance.IsColdLimited(now) && !s.instance.IsLeaving && s.slowAnswers >= minSuspectAnswers &&
			s.lastSlowAt.Sub(s.slowSince) >= minSuspectTime {
			suspects = append(suspects, s)
		}
	}
	slices.SortFunc(suspects, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.slowAnswers, a.slowAnswers), cmp.Compare(a.incarnation, b.incarnation))
	})
	names := make([]string, len(suspects))
	for i, s := range suspects {
		names[i] = s.incarnation
	}
	return names
}
