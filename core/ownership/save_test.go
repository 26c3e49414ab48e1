package ownership_test

import (
	"time"

	"pgregory.net/rapid"

	"redwingsill/core/command"
	"redwingsill/core/era"
)

// save is a coordinator's write to the store, on condition that its term lasts and that nobody has written since.
type save struct {
	from     *coordinator
	command  command.Save
	term     int
	revision int64
	era      era.Era
	// isSent is set once the coordinator reached the store, which carries out the write at dueAt.
	isSent bool
	dueAt  time.Time
	// isAnswerLost is set if the coordinator has to repeat the write to learn the result.
	isAnswerLost bool
	// writtenAs is the store's revision after the write took effect, or 0.
	writtenAs int64
}

// completeSaves carries out the writes that are due, and repeats those that did not reach the store.
func (m *model) completeSaves() {
	var pending []save
	for _, s := range m.saves {
		s.isSent = s.isSent || s.from.isAlive && !s.from.isFrozen(m.now) && m.reachesStore(s.from)
		switch {
		case !s.isSent && !s.from.isAlive:
			continue
		case !s.isSent, m.now.Before(s.dueAt), m.isStoreDown:
			pending = append(pending, s)
			continue
		}
		isOther := s.era != m.era
		if isOther && m.written < m.era && s.writtenAs == 0 && m.drawOnceIn(4, "conditions hold by coincidence") {
			m.keys, m.fence, m.written = s.command.Keys, s.command.ReservedFence, s.era
			m.revision++
		}
		if !isOther && s.writtenAs == 0 && s.term == m.term && s.revision == m.revision && m.now.Before(m.leaseUntil) {
			m.keys, m.fence, m.written = s.command.Keys, max(m.fence, s.command.ReservedFence), s.era
			m.revision++
			s.writtenAs = m.revision
		}
		if s.isAnswerLost {
			s.isSent, s.isAnswerLost = false, false
			s.dueAt = m.now.Add(time.Duration(rapid.IntRange(150, 3000).Draw(m.t, "save repeated ms")) * time.Millisecond)
			pending = append(pending, s)
			continue
		}
		m.answerSave(s)
	}
	m.saves = pending
}

// answerSave passes the result of a write to its coordinator. A repeated write whose first attempt took effect is done,
// unless another coordinator has written since.
func (m *model) answerSave(s save) {
	result := command.Stale
	if s.writtenAs != 0 && s.writtenAs == m.revision && s.era == m.era {
		result = command.Done
	}
	m.tell(s.from, func() {
		if result == command.Done {
			s.from.revision, s.from.writtenIn = s.writtenAs, s.era
		}
		s.from.state = s.from.state.WithSaveResult(s.command, result, m.now)
	})
}
