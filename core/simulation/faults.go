package simulation

import (
	"time"

	"redwingsill/core/event"
	"redwingsill/core/host"
)

// StartHost starts a host with empty state and a new incarnation. Its clock rate differs from virtual time by up to 0.3%.
func (sim *Simulation) StartHost(name string) {
	clockRate := 1 + (sim.random.Float64()-0.5)*0.006
	n := &node{name: name, isAlive: true, clockRate: clockRate, startedAt: sim.Now()}
	n.host = host.New(name, sim.dataCentre, sim.Now().UnixNano(), sim.timing, n.localTime(sim.Now()))
	sim.nodes[name] = n
	sim.scheduleTick(n, time.Duration(sim.random.Int64N(int64(tickInterval))))
}

// KillHost stops a host immediately, without a shutdown sequence.
func (sim *Simulation) KillHost(name string) { sim.nodes[name].isAlive = false }

// PauseHost suspends a host's process, as a stopped virtual machine or a long stall does, until [Simulation.ResumeHost].
func (sim *Simulation) PauseHost(name string) { sim.nodes[name].isPaused = true }

// ResumeHost resumes a paused host and delivers the events that arrived during the pause. In half of the cases its timer
// fires before it handles them.
func (sim *Simulation) ResumeHost(name string) {
	n := sim.nodes[name]
	n.isPaused = false
	if sim.random.IntN(2) == 0 {
		sim.step(n, event.Ticked{})
	}
	for _, e := range n.backlog {
		sim.step(n, e)
	}
	n.backlog = nil
}

// ShutDownHost starts the orderly shutdown of a host.
func (sim *Simulation) ShutDownHost(name string) { sim.deliver(name, 0, event.LeaveRequested{}) }

// SetPartitioned blocks all traffic between a and b, or restores it. Each is a host name or "platform".
func (sim *Simulation) SetPartitioned(a, b string, isPartitioned bool) {
	sim.partitions[[2]string{a, b}], sim.partitions[[2]string{b, a}] = isPartitioned, isPartitioned
}

// SetPlatformFaults sets the platform's faults: isDown makes it unreachable, and losesAnswers makes it apply writes but lose
// the answers, so that the writes fail for the hosts.
func (sim *Simulation) SetPlatformFaults(isDown, losesAnswers bool) {
	sim.platform.isDown, sim.platform.losesAnswers = isDown, losesAnswers
}

// SetDownServers sets the backend servers that the monitoring system declares down.
func (sim *Simulation) SetDownServers(servers ...string) { sim.downServers = servers }

// SetLeaving sets whether the platform lists a host or backend server as leaving.
func (sim *Simulation) SetLeaving(name string, isLeaving bool) { sim.leaving[name] = isLeaving }

// FreezeServer freezes a backend server, which then defers the requests that arrive, or unfreezes it, which delivers the
// deferred requests. Requests that are already running finish in either state.
func (sim *Simulation) FreezeServer(name string, isFrozen bool) {
	s := sim.servers[name]
	s.isFrozen = isFrozen
	if !isFrozen {
		for _, receive := range s.deferredArrivals {
			receive()
		}
		s.deferredArrivals = nil
	}
}
