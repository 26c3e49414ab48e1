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

const serviceTime = 4 * time.Millisecond

// server is a fake of a backend server. It honours deadlines, and checks grants where it is declared to.
type server struct {
	declared resource.BackendServer
	isFrozen bool
	held     []func()
	highest  grant.Grant
	// ran lists the runs of each request id.
	ran     map[string][]string
	running int
}

// run carries out an order of a host.
func (s *server) run(d *Simulation, n *node, f effect.Run) {
	left := f.Deadline.Sub(n.clock(d.Now()))
	deadline := d.Now().Add(left)
	d.deliverTo(n, max(0, left), event.AttemptFinished{Server: f.Server, Ticket: f.Ticket, Outcome: outcome.Unknown{Reason: "no answer in time"}})
	d.After(d.delay(), func() { s.arrive(d, n, f, deadline) })
}

func (s *server) arrive(d *Simulation, n *node, f effect.Run, deadline time.Time) {
	if s.isFrozen {
		s.held = append(s.held, func() { s.arrive(d, n, f, deadline) })
		return
	}
	if d.Now().After(deadline) || s.declared.ChecksGrants && f.Grant.Compare(s.highest) < 0 {
		d.deliverTo(n, d.delay(), event.AttemptFinished{Server: f.Server, Ticket: f.Ticket, Outcome: outcome.NotRun{Reason: "refused", Moved: true}})
		return
	}
	s.highest = f.Grant
	if f.Request.ID != "" {
		s.ran[f.Request.ID] = append(s.ran[f.Request.ID], fmt.Sprintf("%s at %s by %s under %d.%d", f.Server,
			d.Elapsed().Round(time.Millisecond), n.name, f.Grant.Term, f.Grant.Generation))
	}
	s.running++
	if s.running > s.declared.Slots {
		d.violate("%s runs %d requests in %d slots", f.Server, s.running, s.declared.Slots)
	}
	d.recordRun(f.Server, f.Request)
	d.After(serviceTime, func() {
		s.running--
		d.endRun(f.Server, f.Request)
		d.deliverTo(n, d.delay(), event.AttemptFinished{Server: f.Server, Ticket: f.Ticket, Outcome: outcome.Answered{Status: 200}})
	})
}
