package simulation

import (
	"strings"
	"time"

	"redwingsill/core/configuration"
	"redwingsill/core/request"
	"redwingsill/core/unit"
)

// ServingServers returns the backend server that serves each unit now, according to the state and clock of every running
// host. It records a violation if two hosts hold a valid lease for one server, or two servers serve one unit.
func (sim *Simulation) ServingServers() map[unit.Unit]string {
	serving := map[unit.Unit]string{}
	leaseHolders := map[string]string{}
	for _, name := range sim.hostNames {
		n := sim.nodes[name]
		if !n.isAlive || n.isPaused {
			continue
		}
		now := n.localTime(sim.Now())
		assigned := n.host.Snapshot().Assignment
		for server := range sim.servers {
			holder, ok := n.host.LeaseHolder(server)
			if !ok || !holder.Lease().IsValid(now) {
				continue
			}
			if other, taken := leaseHolders[server]; taken {
				sim.recordViolation("%s has the lease holders %s and %s", server, other, name)
			}
			leaseHolders[server] = name
			for _, u := range assigned.UnitsOf(server) {
				if !holder.Serves(u, now) {
					continue
				}
				if other, taken := serving[u]; taken && other != server {
					sim.recordViolation("%s is served by %s and %s", u, other, server)
				}
				serving[u] = server
			}
		}
	}
	return serving
}

// Units returns a unit for each hash slot whose home is the simulated data centre. Hot keys are not included.
func (sim *Simulation) Units() []unit.Unit {
	var units []unit.Unit
	c := sim.storedConfiguration()
	for service, homes := range c.Homes {
		for hashSlot, home := range homes {
			if home == sim.dataCentre {
				units = append(units, unit.Unit{Service: service, HashSlot: hashSlot})
			}
		}
	}
	return units
}

// RepeatedRuns describes the runs of each request ID that ran more than once.
func (sim *Simulation) RepeatedRuns() []string {
	runs := map[string][]string{}
	for _, s := range sim.servers {
		for id, serverRuns := range s.runs {
			runs[id] = append(runs[id], serverRuns...)
		}
	}
	var repeated []string
	for id, idRuns := range runs {
		if len(idRuns) > 1 {
			repeated = append(repeated, id+": "+strings.Join(idRuns, ", "))
		}
	}
	return repeated
}

// HasRun reports whether a backend server ran the request ID.
func (sim *Simulation) HasRun(id string) bool {
	for _, s := range sim.servers {
		if len(s.runs[id]) > 0 {
			return true
		}
	}
	return false
}

// beginRun marks a server as running a request for a key, and records a violation if another server is running a
// request for the same key.
func (sim *Simulation) beginRun(server string, r request.Request) {
	if r.Key == "" {
		return
	}
	key := r.Service + "/" + r.Key
	if other := sim.activeKeys[key]; other.server != "" && other.server != server {
		sim.recordViolation("key %s runs on %s and %s", key, other.server, server)
	}
	active := sim.activeKeys[key]
	active.server = server
	active.requests++
	sim.activeKeys[key] = active
}

// endRun marks one request for a key as finished.
func (sim *Simulation) endRun(_ string, r request.Request) {
	if r.Key == "" {
		return
	}
	key := r.Service + "/" + r.Key
	active := sim.activeKeys[key]
	if active.requests--; active.requests <= 0 {
		delete(sim.activeKeys, key)
		return
	}
	sim.activeKeys[key] = active
}

// MeasureOutages advances the clock by length and returns the time that each unit was unserved, sampled once per step. Units
// that were always served are absent.
func (sim *Simulation) MeasureOutages(length, step time.Duration, units []unit.Unit) map[unit.Unit]time.Duration {
	outages := map[unit.Unit]time.Duration{}
	for end := sim.Now().Add(length); sim.Now().Before(end); {
		sim.Advance(step)
		serving := sim.ServingServers()
		for _, u := range units {
			if serving[u] == "" {
				outages[u] += step
			}
		}
	}
	return outages
}

// storedConfiguration returns the configuration that the platform stores.
func (sim *Simulation) storedConfiguration() configuration.Configuration {
	c, err := configuration.Parse(sim.platform.records[configurationKey].value)
	if err != nil {
		panic(err)
	}
	return c
}
