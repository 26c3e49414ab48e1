package ownership_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// faults selects the classes of faults that the model draws besides those of TestOneOwner.
type faults struct {
	// reusesAddresses: servers start again at the address of an ended one, under its ID or another. A call reaches the
	// server that is at the address when it arrives. A server with another ID than the call names refuses it.
	reusesAddresses bool
	// misleadsDiscovery: entries of ended servers stay or are listed again, entries of new ones come late, coordinators
	// see the list late, and start times come from a clock that steps.
	misleadsDiscovery bool
	// startsOtherServices: servers of another service start at the addresses of ended ones, and the other way round.
	startsOtherServices bool
	// revokesLeases: the coordinator's key disappears from the store before its lease ends.
	revokesLeases bool
	// freezesCoordinators: a coordinator is stopped for seconds and goes on, while its calls are on their way.
	freezesCoordinators bool
	// cutsHosts: the store is out for some hosts only, and hosts stop and start again, so that coordinators know different
	// hosts. The coordinators know of outages what the hosts report.
	cutsHosts bool
	// resumesTerms: a host that is elected again goes on with the state of its last term. Terms may be short.
	resumesTerms bool
	// delaysSaves: a write to the store takes effect seconds later, or its answer is lost and it is repeated.
	delaysSaves bool
	// copiesAnswers: servers answer over connections that carry many calls, and at times the answer to one call is repeated where
	// that of a lost one is due.
	copiesAnswers bool
	// evacuatesServers: the data centres of servers are evacuated, and evacuations end. The coordinators know either late.
	evacuatesServers bool
	// returnsStore: the store returns to an older copy, and coordinators learn of that early or late.
	returnsStore bool
}

// reuseAfter is the time after which the address of an ended server may go to another service.
const reuseAfter = 2 * time.Second

// maxServers bounds the servers that the model starts. Below minLiveServers it starts another.
const maxServers, minLiveServers = 24, 4

// events are the numbers of the events of [model.apply].
var events = []int{0, 1, 2, 3, 4, 5, 6, 7, 9, 11}

// callsAddresses reports whether a call may reach another server than the one that it names.
func (f faults) callsAddresses() bool { return f.reusesAddresses || f.startsOtherServices }

// drawFaults draws faults of TestOneOwner and of the selected classes, or none.
func (m *model) drawFaults() {
	if m.drawRarely("fault") {
		m.apply(rapid.SampledFrom(events).Draw(m.t, "event"), m.drawServer())
	}
	if m.faults.reusesAddresses && m.drawRarely("address") {
		m.drawReuse(m.drawServer())
	}
	if m.faults.misleadsDiscovery && m.drawRarely("entry") {
		m.drawEntryFault(m.drawServer())
	}
	if m.faults.startsOtherServices && m.drawRarely("service") {
		m.drawOtherService(m.drawServer())
	}
	if m.faults.evacuatesServers && m.drawRarely("evacuation") {
		m.drawEvacuation(m.drawServer())
	}
	if m.faults.cutsHosts && !m.now.Before(m.splitUntil) {
		m.drawHostFaults()
	}
	if m.faults.returnsStore {
		m.drawReturn()
	}
	c := m.current()
	if c == nil {
		return
	}
	if m.faults.revokesLeases && m.drawRarely("revoked") {
		m.logf("lease of coordinator %d revoked", c.term)
		m.leaseUntil = m.now
		if rapid.Bool().Draw(m.t, "cut off too") {
			m.cutOff(c)
		}
		if s := m.drawServer(); s.isAlive && rapid.Bool().Draw(m.t, "keeps a server") {
			s.unreachableFromTerm, s.isListed = m.term+1, false
		}
	}
	if m.faults.freezesCoordinators && m.drawRarely("frozen") {
		c.frozenUntil = m.now.Add(m.drawDelay(8000))
		m.logf("coordinator %d is frozen for %v", c.term, c.frozenUntil.Sub(m.now))
	}
	if m.faults.resumesTerms && (m.drawRarely("term ends") || m.hasActingPredecessor() && m.drawOnceIn(4, "short term ends")) {
		m.logf("term of coordinator %d ends", c.term)
		m.leaseUntil = m.now
		c.isAlive = !rapid.Bool().Draw(m.t, "killed")
		if s := m.drawServer(); s.isAlive && c.isAlive && rapid.Bool().Draw(m.t, "keeps a server") {
			s.unreachableFromTerm, s.isListed = m.term+1, false
		}
	}
}

// drawHostFaults draws faults of entry hosts, or none.
func (m *model) drawHostFaults() {
	if m.drawRarely("hosts") {
		m.drawHostCuts()
	}
	if m.drawRarely("restarts") {
		m.drawRestarts()
	}
	if !m.splitAt.IsZero() && !m.now.Before(m.splitAt) {
		m.drawSplit()
	}
}

// hasActingPredecessor reports whether an earlier coordinator may still be elected again with its state.
func (m *model) hasActingPredecessor() bool {
	for _, c := range m.coordinators {
		if c.term < m.term && c.isAlive && c.state.IsActing(m.now) && c.revision == m.revision {
			return true
		}
	}
	return false
}

// drawRepairs ends some of the lasting faults, so that keys have owners most of the time.
func (m *model) drawRepairs() {
	if m.drawOnceIn(8, "store back") {
		m.isStoreDown = false
	}
	if m.drawOnceIn(32, "server back") {
		if s := m.drawServer(); s.isAlive {
			s.isPartitioned, s.unreachableFromTerm = false, 0
			if !s.isListed {
				s.isListed, s.listedAt = true, m.now
			}
		}
	}
	if m.faults.cutsHosts && !m.now.Before(m.splitUntil) && m.splitAt.IsZero() && m.drawOnceIn(16, "host back") {
		h := &m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")]
		h.isCutOff, h.isAway = false, false
	}
	live := 0
	for _, s := range m.servers {
		if s.isAlive && !s.instance.IsLeaving && s.instance.Service == "s" {
			live++
		}
	}
	if live < minLiveServers && len(m.servers) < maxServers && m.drawOnceIn(4, "new server") {
		m.start(fmt.Sprintf("n%d", len(m.servers)), "s", fmt.Sprintf("10.0.1.%d:80", len(m.servers)))
	}
}

// drawRarely draws true about ten times in a run.
func (m *model) drawRarely(label string) bool { return m.drawOnceIn(32, label) }

// drawOnceIn draws true once in n times, a power of two. Integers that rapid draws are mostly small, bits are not.
func (m *model) drawOnceIn(n int, label string) bool {
	for ; n > 1; n /= 2 {
		if !rapid.Bool().Draw(m.t, label) {
			return false
		}
	}
	return true
}

func (m *model) drawServer() *server {
	return m.servers[rapid.IntRange(0, len(m.servers)-1).Draw(m.t, "fault's server")]
}

func (m *model) drawDelay(maxMillis int) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMillis).Draw(m.t, "fault ms")) * time.Millisecond
}

// drawStart returns the start time that a new server reports, in Unix milliseconds. No two starts under an ID have the
// same.
func (m *model) drawStart(id string) int64 {
	start := int64(0)
	if rapid.IntRange(0, 4).Draw(m.t, "start known") > 0 {
		start = m.now.UnixMilli() + int64(rapid.IntRange(-10_000, 10_000).Draw(m.t, "clock off by ms"))
	}
	for _, s := range m.servers {
		if s.instance.ID == id && s.instance.StartMillis == start {
			return m.now.UnixMilli() + 20_000 + m.starts
		}
	}
	return start
}

// end ends a server.
func (m *model) end(s *server) {
	m.logf("%s ended", s.instance.Incarnation())
	s.isAlive, s.isListed, s.endedAt = false, false, m.now
	if m.faults.misleadsDiscovery && rapid.Bool().Draw(m.t, "entry stays") {
		s.listedUntil = m.now.Add(m.drawDelay(8000))
	}
}

// isVacant reports whether no server is at the address now.
func (m *model) isVacant(address string) bool {
	for _, s := range m.servers {
		if s.isAlive && s.instance.Address == address {
			return false
		}
	}
	return true
}

// drawReuse ends a server, or starts another of its service at its address, or both.
func (m *model) drawReuse(s *server) {
	if s.isAlive {
		m.end(s)
		if rapid.Bool().Draw(m.t, "stays away") {
			return
		}
	}
	if len(m.servers) >= maxServers || !m.isVacant(s.instance.Address) {
		return
	}
	id := fmt.Sprintf("n%d", len(m.servers))
	if rapid.Bool().Draw(m.t, "same ID") && m.isIDUnused(s.instance.ID) {
		id = s.instance.ID
	}
	m.start(id, s.instance.Service, s.instance.Address)
}

// isIDUnused reports whether no live server has the ID.
func (m *model) isIDUnused(id string) bool {
	for _, s := range m.servers {
		if s.isAlive && s.instance.ID == id {
			return false
		}
	}
	return true
}

// drawEntryFault lists an ended server, removes or restores the entry of a live one, or makes a coordinator miss changes.
func (m *model) drawEntryFault(s *server) {
	if c := m.current(); c != nil && rapid.IntRange(0, 3).Draw(m.t, "blind") == 0 {
		c.isBlindUntil = m.now.Add(m.drawDelay(3000))
		return
	}
	m.logf("entry of %s changes", s.instance.Incarnation())
	s.listedAt = m.now
	if s.isAlive {
		s.isListed = !s.isListed
		return
	}
	s.listedUntil = m.now.Add(m.drawDelay(8000))
}

// drawOtherService ends a server, or starts one of the other service at the address of a server that ended some time ago.
func (m *model) drawOtherService(s *server) {
	if s.isAlive {
		m.end(s)
		return
	}
	if len(m.servers) >= maxServers || !m.isVacant(s.instance.Address) || m.now.Sub(s.endedAt) < reuseAfter {
		return
	}
	service := "other"
	if s.instance.Service == service {
		service = "s"
	}
	m.start(fmt.Sprintf("n%d", len(m.servers)), service, s.instance.Address)
}
