package ownership_test

import (
	"redwingsill/core/instance"
	"redwingsill/core/proof"
)

// connection is a connection of a coordinator to a server.
type connection struct {
	id int64
	// calls is the number of calls that the connection has carried. No call follows on one without an answer.
	calls    int64
	isSilent bool
}

// connect puts a call on the connection of its coordinator to the server, or on a new one.
func (m *model) connect(c *call, to instance.Instance, needsNew bool) {
	if !m.faults.copiesAnswers {
		return
	}
	key := connectionKey{from: c.from, to: to.Incarnation()}
	last := m.connections[key]
	if last.id == 0 || last.isSilent || needsNew {
		last = connection{id: m.lastConnection + 1}
		m.lastConnection++
	}
	last.calls++
	last.isSilent = c.lost
	m.connections[key] = last
	c.proof = proof.Proof{Connection: last.id, Ordinal: last.calls}
}
