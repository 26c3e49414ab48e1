package simulation

import (
	"time"

	"redwingsill/core/event"
	"redwingsill/core/host"
)

// StartHost starts a host that is not running, without memory of an earlier start.
func (d *Simulation) StartHost(name string) {
	drift := 1 + (d.random.Float64()-0.5)*0.006
	n := &node{name: name, isAlive: true, drift: drift, startedAt: d.Now()}
	n.host = host.New(name, d.dataCentre, d.Now().UnixNano(), d.timing, n.clock(d.Now()))
	d.nodes[name] = n
	d.tick(n, time.Duration(d.random.Int64N(int64(tickInterval))))
}

// KillHost stops a host at once.
func (d *Simulation) KillHost(name string) { d.nodes[name].isAlive = false }

// PauseHost stops a host's process without its knowledge; ResumeHost lets it go on.
func (d *Simulation) PauseHost(name string) { d.nodes[name].isPaused = true }

// ResumeHost lets a paused host go on. What arrived meanwhile is waiting for it, and its timer may fire before it reads that.
func (d *Simulation) ResumeHost(name string) {
	n := d.nodes[name]
	n.isPaused = false
	if d.random.IntN(2) == 0 {
		d.step(n, event.Ticked{})
	}
	for _, e := range n.inbox {
		d.step(n, e)
	}
	n.inbox = nil
}

// LeaveHost asks a host to stop in order.
func (d *Simulation) LeaveHost(name string) { d.deliver(name, 0, event.LeaveRequested{}) }

// Cut cuts two hosts from each other, or heals the cut. The name "platform" stands for the platform.
func (d *Simulation) Cut(a, b string, isCut bool) {
	d.cuts[[2]string{a, b}], d.cuts[[2]string{b, a}] = isCut, isCut
}

// SetPlatform switches the platform's faults: down refuses all calls, and loses drops the answers to writes.
func (d *Simulation) SetPlatform(down, loses bool) {
	d.platform.isDown, d.platform.losesAnswers = down, loses
}

// SetDown sets the backend servers that the monitoring group declares down.
func (d *Simulation) SetDown(servers ...string) { d.down = servers }

// SetLeaving lists a host or backend server as leaving.
func (d *Simulation) SetLeaving(name string, isLeaving bool) { d.leaving[name] = isLeaving }

// FreezeServer freezes a backend server, or lets it go on as if nothing had happened.
func (d *Simulation) FreezeServer(name string, isFrozen bool) {
	s := d.servers[name]
	s.isFrozen = isFrozen
	if !isFrozen {
		for _, held := range s.held {
			held()
		}
		s.held = nil
	}
}
