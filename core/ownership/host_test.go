package ownership_test

import (
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/reachability"
)

// host is an entry host's contact with the store.
type host struct {
	record reachability.Reachability
	// isCutOff is set while the host doesn't reach the store.
	isCutOff bool
}

// report is a host's record and when a coordinator got it.
type report struct {
	record     reachability.Reachability
	receivedAt time.Time
}

// maxReportAge is the age up to which a coordinator uses another host's record.
var maxReportAge = modelTiming.ReportAge

// drawHostCuts draws which hosts reach the store, and which hosts reach each other.
func (m *model) drawHostCuts() {
	share := rapid.IntRange(0, 4).Draw(m.t, "quarters cut off")
	for i := range m.hosts {
		m.hosts[i].isCutOff = rapid.IntRange(1, 4).Draw(m.t, "cut off") <= share
		for j := range i {
			m.isSilent[[2]int{j, i}] = rapid.IntRange(0, 5).Draw(m.t, "silent") == 0
		}
	}
}

// updateHosts records for each host that reaches the store that it does. Some of them hear of the last election.
func (m *model) updateHosts() {
	for i := range m.hosts {
		if m.hosts[i].isCutOff || m.isStoreDown || m.isHostFrozen(i) {
			continue
		}
		m.hosts[i].record = m.hosts[i].record.WithAnswer(m.now)
		if rapid.Bool().Draw(m.t, "hears of election") {
			m.hosts[i].record = m.hosts[i].record.WithCoordinatorRevision(int64(m.term))
		}
	}
}

func (m *model) isHostFrozen(i int) bool {
	for _, c := range m.coordinators {
		if c.isAlive && c.host == i && c.isFrozen(m.now) {
			return true
		}
	}
	return false
}

// drawCandidate draws the host that is elected next, and whether any can be.
func (m *model) drawCandidate() (int, bool) {
	if !m.faults.cutsHosts {
		return 0, true
	}
	var candidates []int
	for i := range m.hosts {
		if !m.hosts[i].isCutOff && !m.isHostFrozen(i) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(candidates).Draw(m.t, "candidate"), true
}

// resumable returns a coordinator on the host that may go on in a new term, or nil: one that is still acting, and since
// whose last write nobody has written.
func (m *model) resumable(candidate int) *coordinator {
	if !m.faults.resumesTerms {
		return nil
	}
	for _, c := range m.coordinators {
		if c.isAlive && !c.isFrozen(m.now) && c.host == candidate && c.state.IsActing(m.now) && c.revision == m.revision && rapid.Bool().Draw(m.t, "resumes") {
			return c
		}
	}
	return nil
}

// exchangeReports collects the hosts' records and tells the coordinator what they show. The coordinator steps down if a
// host knows a later one.
func (m *model) exchangeReports(c *coordinator) {
	isExpiring := c.leaseEnd.Sub(m.now) < lease/2
	if !isExpiring && (c.isReachableSinceKnown || !c.state.HasInheritedGrants(m.now)) {
		return
	}
	var records []reachability.Reachability
	for i := range m.hosts {
		if i == c.host {
			m.hosts[i].record = m.hosts[i].record.WithCoordinatorRevision(int64(c.term))
			records = append(records, m.hosts[i].record)
			continue
		}
		if !m.isSilent[[2]int{min(i, c.host), max(i, c.host)}] && !m.isHostFrozen(i) && rapid.Bool().Draw(m.t, "reports") {
			m.hosts[i].record = m.hosts[i].record.WithCoordinatorRevision(int64(c.term))
			c.reports[i] = report{record: m.hosts[i].record, receivedAt: m.now}
		}
		if r, ok := c.reports[i]; ok && m.now.Sub(r.receivedAt) <= maxReportAge {
			records = append(records, r.record)
		}
	}
	for _, r := range records {
		if r.CoordinatorRevision > int64(c.term) {
			m.logf("coordinator %d steps down", c.term)
			c.isAlive = false
			return
		}
	}
	if isExpiring && reachability.IsStoreUnreachable(records, len(m.hosts), int64(c.term), m.now) {
		c.state = c.state.WithStoreUnreachable(m.now)
	}
	since, ok := reachability.StoreReachableSince(records, len(m.hosts), int64(c.term), m.now)
	if ok && !c.isReachableSinceKnown {
		m.logf("coordinator %d learns that the store has been reachable for %v", c.term, m.now.Sub(since))
		c.isReachableSinceKnown = true
		c.state = c.state.WithStoreReachableSince(since)
	}
}
