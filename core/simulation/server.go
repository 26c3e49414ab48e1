package simulation

import (
	"fmt"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/grant"
	"redwingsill/core/outcome"
	"redwingsill/core/resource"
)

// serviceTime is the time that a backend server takes for each request.
const serviceTime = 4 * time.Millisecond

// server is a fake backend server. It refuses requests past their deadline and, if its declaration says so, requests under
// a lower grant than the highest it has seen.
type server struct {
	declaration resource.BackendServer
	isFrozen    bool
	// deferredArrivals redeliver the requests that arrived while the server was frozen.
	deferredArrivals []func()
	// highestGrant is the grant of the last request that was run. It is the highest one if the server checks grants.
	highestGrant grant.Grant
	// runs describes the runs of each request ID.
	runs    map[string][]string
	running int
}

// run delivers a host's request to the server. After the time that remains until the attempt's deadline, the host receives a
// timeout, which it ignores if the attempt has already ended.
func (s *server) run(sim *Simulation, n *node, f effect.Run) {
	remaining := f.Deadline.Sub(n.localTime(sim.Now()))
	deadline := sim.Now().Add(remaining)
	sim.deliverToNode(n, max(0, remaining), event.AttemptFinished{Server: f.Server, Ticket: f.Ticket, Outcome: outcome.Unknown{Reason: "no answer in time"}})
	sim.After(sim.networkDelay(), func() { s.receive(sim, n, f, deadline) })
}

// receive refuses or runs a request that has reached the server.
func (s *server) receive(sim *Simulation, n *node, f effect.Run, deadline time.Time) {
	if s.isFrozen {
		s.deferredArrivals = append(s.deferredArrivals, func() { s.receive(sim, n, f, deadline) })
		return
	}
	if sim.Now().After(deadline) || s.declaration.ChecksGrants && f.Grant.Compare(s.highestGrant) < 0 {
		sim.deliverToNode(n, sim.networkDelay(), event.AttemptFinished{Server: f.Server, Ticket: f.Ticket, Outcome: outcome.NotRun{Reason: "refused", Moved: true}})
		return
	}
	s.highestGrant = f.Grant
	if f.Request.ID != "" {
		s.runs[f.Request.ID] = append(s.runs[f.Request.ID], fmt.Sprintf("%s at %s by %s under %d.%d", f.Server,
			sim.Elapsed().Round(time.Millisecond), n.name, f.Grant.Term, f.Grant.Generation))
	}
	s.running++
	if s.running > s.declaration.Slots {
		sim.recordViolation("%s runs %d requests in %d slots", f.Server, s.running, s.declaration.Slots)
	}
	sim.beginRun(f.Server, f.Request)
	sim.After(serviceTime, func() {
		s.running--
		sim.endRun(f.Server, f.Request)
		sim.deliverToNode(n, sim.networkDelay(), event.AttemptFinished{Server: f.Server, Ticket: f.Ticket, Outcome: outcome.Answered{Status: 200}})
	})
}
