package ownership_test

import (
	"slices"
	"strconv"

	"pgregory.net/rapid"

	"redwingsill/core/electorate"
	"redwingsill/core/era"
	"redwingsill/core/keymap"
	"redwingsill/core/ownership"
)

// storeCopy is what the store held when it was copied.
type storeCopy struct {
	keys                        keymap.Map
	fence, revision             int64
	written, electoratesWritten era.Era
	electorates                 [][]string
	// ever are the hosts that have had an entry since, and always those that have had one all the time.
	ever, always []string
}

// updateCopy records which hosts have an entry.
func (m *model) updateCopy() {
	if m.copied == nil {
		return
	}
	for i, h := range m.hosts {
		name := strconv.Itoa(i)
		if h.isAway {
			m.copied.always = slices.DeleteFunc(m.copied.always, func(other string) bool { return other == name })
		} else if !slices.Contains(m.copied.ever, name) {
			m.copied.ever = append(m.copied.ever, name)
		}
	}
}

// drawReturn copies the store, or lets it return to the copy, or neither. It does not return if more than a quarter of the hosts
// that were there since the copy have stopped in between: nobody can know the sets of the others then.
func (m *model) drawReturn() {
	if m.copied == nil || m.drawRarely("copy") {
		m.copied = &storeCopy{keys: m.keys, fence: m.fence, revision: m.revision, written: m.written, electoratesWritten: m.electoratesWritten,
			electorates: slices.Clone(m.electorates), ever: m.hostNames(), always: m.hostNames()}
	}
	if !m.drawRarely("return") || m.faults.cutsHosts && 4*(len(m.copied.ever)-len(m.copied.always)) > len(m.copied.ever) {
		return
	}
	c := m.copied
	m.era++
	m.logf("the store returns to a copy, in era %d", m.era)
	m.keys, m.fence, m.revision, m.written, m.electoratesWritten, m.electorates = c.keys, c.fence, c.revision, c.written, c.electoratesWritten, c.electorates
	m.leaseUntil, m.lostHosts = m.now, slices.Clone(c.ever)
}

// learnEra tells a coordinator of the store's era, now or at a later step.
func (m *model) learnEra(c *coordinator) {
	if c.era == m.era || !m.reachesStore(c) || m.drawOnceIn(2, "learns of the era late") {
		return
	}
	c.era = m.era
	state, ok := c.state.WithLostEra(m.now)
	if !ok {
		m.logf("coordinator %d stops in era %d", c.term, c.era)
		c.isAlive = false
		return
	}
	m.logf("coordinator %d knows its grants in era %d", c.term, c.era)
	c.state = state
}

// loaded returns the state of a coordinator that reads the map.
func (m *model) loaded() ownership.Ownership {
	if m.written == m.era {
		return ownership.New(modelTiming, m.keys, m.fence, m.now)
	}
	return ownership.NewFromOlderMap(modelTiming, m.keys, m.era.RaisedFence(m.fence, m.written), m.now)
}

// isResumedInNewEra reports whether a coordinator that knows what it granted before the store returned was elected. Nobody may have
// written the map in this era.
func (m *model) isResumedInNewEra(candidate int) bool {
	if m.written == m.era {
		return false
	}
	for _, c := range m.coordinators {
		if !c.isAlive || c.isFrozen(m.now) || c.host != candidate || c.era != m.era || !c.state.IsMapLost() || !c.state.IsActing(m.now) ||
			!m.reachesStore(c) || rapid.Bool().Draw(m.t, "another is elected") {
			continue
		}
		m.logf("coordinator %d is elected as %d in era %d", c.term, m.term, m.era)
		c.term, c.revision, c.leaseEnd = m.term, m.revision, m.leaseUntil
		c.electorate, c.hasReadElectorate, c.electorateWrite = electorate.Electorate{}, false, nil
		c.isReachableSinceKnown = false
		c.state = m.withLastOutage(c.state.WithNewEra(m.era.RaisedFence(0, c.writtenIn), m.now).WithLease(m.leaseUntil))
		c.writtenIn = m.era
		return true
	}
	return false
}
