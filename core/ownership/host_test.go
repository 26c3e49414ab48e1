package ownership_test

import (
	"slices"
	"strconv"
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/electorate"
	"redwingsill/core/reachability"
)

// host is an entry host's contact with the store.
type host struct {
	record reachability.Reachability
	// isCutOff is set while the host doesn't reach the store, and isAway while it is stopped and has no entry.
	isCutOff, isAway bool
}

// maxReportAge is the age up to which a coordinator uses another host's record.
var maxReportAge = modelTiming.ReportAge

// electorateInterval is the shortest time between two writes of a coordinator's set of hosts.
const electorateInterval = lease

// isOut reports whether the host doesn't reach the store.
func (h host) isOut() bool { return h.isCutOff || h.isAway }

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

// drawRestarts draws which hosts are stopped, or have started again. A coordinator ends with its host.
func (m *model) drawRestarts() {
	share := rapid.IntRange(0, 3).Draw(m.t, "quarters stopped")
	if rapid.Bool().Draw(m.t, "split follows") {
		m.splitAt = m.now.Add(lease + m.drawDelay(4000))
	}
	for i := range m.hosts {
		isAway := rapid.IntRange(1, 4).Draw(m.t, "stopped") <= share
		if !isAway || m.hosts[i].isAway {
			m.hosts[i].isAway = isAway
			continue
		}
		m.logf("host %d is stopped", i)
		m.hosts[i].isAway, m.hosts[i].record = true, reachability.Reachability{}
		for _, c := range m.coordinators {
			if c.host == i {
				c.isAlive = false
			}
		}
	}
}

// drawSplit lets the stopped hosts start again while the others are cut off from the store and from them. Only the current
// coordinator goes on reaching a server, if it is cut off too.
func (m *model) drawSplit() {
	m.splitAt = time.Time{}
	c := m.current()
	if c == nil || !slices.ContainsFunc(m.hosts, func(h host) bool { return h.isAway }) {
		return
	}
	m.splitUntil = m.now.Add(modelTiming.UnreachableRenewGrace + m.drawDelay(5000))
	m.logf("hosts are split until %v", m.splitUntil.Sub(time.Unix(1_000_000, 0)))
	for i := range m.hosts {
		m.hosts[i].isCutOff = !m.hosts[i].isAway
		for j := range i {
			m.isSilent[[2]int{j, i}] = m.hosts[i].isAway != m.hosts[j].isAway
		}
	}
	for i := range m.hosts {
		m.hosts[i].isAway = false
	}
	owner, _ := m.keys.HoldingOf(rapid.SampledFrom(sampleKeys).Draw(m.t, "key of the server"))
	for _, s := range m.servers {
		if s.isAlive && s.instance.Incarnation() == owner.Owner {
			s.unreachableFromTerm, s.isListed, s.isPartitioned = m.term+1, false, false
		}
	}
}

// hostNames returns the names of the hosts that have an entry.
func (m *model) hostNames() []string {
	var names []string
	for i, h := range m.hosts {
		if !h.isAway {
			names = append(names, strconv.Itoa(i))
		}
	}
	return names
}

// updateElectorate reads the sets of hosts of earlier coordinators, and writes the coordinator's own. The answer to a write
// may be lost; it is then repeated until the result is known.
func (m *model) updateElectorate(c *coordinator) {
	if c.term != m.term || c.era != m.era || !m.reachesStore(c) || !rapid.Bool().Draw(m.t, "electorate") {
		return
	}
	if !c.hasReadElectorate {
		c.hasReadElectorate, c.electedAt = true, m.now
		c.electorate = electorate.New(int64(c.term)).WithEarlier(m.electorates)
		if m.electoratesWritten != m.era {
			c.electorate = electorate.New(int64(c.term)).WithOlder(m.electorates, m.lostHosts)
		}
	}
	if m.now.Sub(c.electedAt) > modelTiming.LongestInheritance() {
		c.electorate = c.electorate.WithEarlier(nil)
	}
	if c.electorateWrite == nil {
		hosts := m.hostNames()
		if !c.electorate.NeedsWrite(hosts) || m.now.Sub(c.electorateWrittenAt) < electorateInterval {
			return
		}
		c.electorate, c.electorateWrittenAt = c.electorate.WithWrite(hosts), m.now
		c.electorateWrite = append(slices.Clone(c.electorate.Earlier()), hosts)
	}
	if rapid.IntRange(0, 3).Draw(m.t, "write of electorate") > 0 {
		m.electorates, m.electoratesWritten = c.electorateWrite, c.era
		if rapid.IntRange(0, 3).Draw(m.t, "answer to write of electorate") > 0 {
			m.logf("coordinator %d counts on the hosts %v", c.term, m.electorates[len(m.electorates)-1])
			c.electorate, c.electorateWrite = c.electorate.WithWritten(), nil
		}
	}
}

// updateHosts records for each host that reaches the store that it does. Some of them hear of the last election; the first
// answer after a start tells of it.
func (m *model) updateHosts() {
	for i := range m.hosts {
		if m.hosts[i].isOut() || m.isStoreDown || m.isHostFrozen(i) {
			continue
		}
		isFirst := m.hosts[i].record.LastAnswer.IsZero()
		m.hosts[i].record = m.hosts[i].record.WithAnswer(m.now)
		if isFirst || rapid.Bool().Draw(m.t, "hears of election") {
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
		if !m.hosts[i].isOut() && !m.isHostFrozen(i) {
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
		if c.isAlive && !c.isFrozen(m.now) && c.host == candidate && c.era == m.era && !c.state.IsMapLost() && c.state.IsActing(m.now) && c.revision == m.revision && rapid.Bool().Draw(m.t, "resumes") {
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
	records := map[string]reachability.Reachability{}
	for i := range m.hosts {
		name := strconv.Itoa(i)
		if i == c.host {
			m.hosts[i].record = m.hosts[i].record.WithCoordinatorRevision(int64(c.term))
			records[name] = m.hosts[i].record.WithReportedAt(m.now)
			continue
		}
		if !m.hosts[i].isAway && !m.isSilent[[2]int{min(i, c.host), max(i, c.host)}] && !m.isHostFrozen(i) && rapid.Bool().Draw(m.t, "reports") {
			m.hosts[i].record = m.hosts[i].record.WithCoordinatorRevision(int64(c.term))
			c.reports[name] = m.hosts[i].record.WithReportedAt(m.now)
		}
		if r, ok := c.reports[name]; ok && m.now.Sub(r.ReportedAt) <= maxReportAge {
			records[name] = r
		}
	}
	for _, r := range records {
		if r.CoordinatorRevision > int64(c.term) {
			m.logf("coordinator %d steps down", c.term)
			c.isAlive = false
			return
		}
	}
	if isExpiring && c.electorate.IsStoreUnreachable(records) {
		c.state = c.state.WithStoreUnreachable(m.now)
	}
	since, ok := c.electorate.StoreReachableSince(records)
	if ok && !c.isReachableSinceKnown {
		m.logf("coordinator %d learns that the store has been reachable for %v", c.term, m.now.Sub(since))
		c.isReachableSinceKnown = true
		c.state = c.state.WithStoreReachableSince(since)
	}
}
