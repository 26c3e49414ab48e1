package simulation

import (
	"strings"
	"time"

	"redwingsill/core/configuration"
	"redwingsill/core/request"
	"redwingsill/core/unit"
)

// Serving returns the backend server that would serve each unit now, by what every running host knows by its own clock.
// Two hosts that would send orders to one server, or two servers for one unit, are violations.
func (d *Simulation) Serving() map[unit.Unit]string {
	serving := map[unit.Unit]string{}
	stewards := map[string]string{}
	for _, name := range d.names {
		n := d.nodes[name]
		if !n.isAlive || n.isPaused {
			continue
		}
		now := n.clock(d.Now())
		a := n.host.Snapshot().Assignment
		for server := range d.servers {
			s, ok := n.host.LeaseHolder(server)
			if !ok || !s.Lease().IsValid(now) {
				continue
			}
			if other, taken := stewards[server]; taken {
				d.violate("%s has the stewards %s and %s", server, other, name)
			}
			stewards[server] = name
			for _, u := range a.UnitsOf(server) {
				if !s.Serves(u, now) {
					continue
				}
				if other, taken := serving[u]; taken && other != server {
					d.violate("%s is served by %s and %s", u, other, server)
				}
				serving[u] = server
			}
		}
	}
	return serving
}

// Units returns the units of the data centre, without hot keys.
func (d *Simulation) Units() []unit.Unit {
	var all []unit.Unit
	c := d.anyConfiguration()
	for service, homes := range c.Homes {
		for slot, home := range homes {
			if home == d.dataCentre {
				all = append(all, unit.Unit{Service: service, Slot: slot})
			}
		}
	}
	return all
}

// RanTwice returns the runs of the request ids that ran more than once.
func (d *Simulation) RanTwice() []string {
	runs := map[string][]string{}
	for _, s := range d.servers {
		for id, some := range s.ran {
			runs[id] = append(runs[id], some...)
		}
	}
	var twice []string
	for id, some := range runs {
		if len(some) > 1 {
			twice = append(twice, id+": "+strings.Join(some, ", "))
		}
	}
	return twice
}

// Ran reports whether a request id ran.
func (d *Simulation) Ran(id string) bool {
	for _, s := range d.servers {
		if len(s.ran[id]) > 0 {
			return true
		}
	}
	return false
}

// recordRun notes that a server began to run a key, and that no other may run it meanwhile.
func (d *Simulation) recordRun(server string, r request.Request) {
	if r.Key == "" {
		return
	}
	key := r.Service + "/" + r.Key
	if other := d.running[key]; other.server != "" && other.server != server {
		d.violate("key %s runs on %s and %s", key, other.server, server)
	}
	o := d.running[key]
	o.server = server
	o.count++
	d.running[key] = o
}

func (d *Simulation) endRun(_ string, r request.Request) {
	if r.Key == "" {
		return
	}
	key := r.Service + "/" + r.Key
	o := d.running[key]
	if o.count--; o.count <= 0 {
		delete(d.running, key)
		return
	}
	d.running[key] = o
}

// Outage returns for each unit how long it was not served while time passed, sampled in steps.
func (d *Simulation) Outage(length, step time.Duration, units []unit.Unit) map[unit.Unit]time.Duration {
	out := map[unit.Unit]time.Duration{}
	for end := d.Now().Add(length); d.Now().Before(end); {
		d.Run(step)
		serving := d.Serving()
		for _, u := range units {
			if serving[u] == "" {
				out[u] += step
			}
		}
	}
	return out
}

func (d *Simulation) anyConfiguration() configuration.Configuration {
	c, err := configuration.Parse(d.platform.records[configurationKey].value)
	if err != nil {
		panic(err)
	}
	return c
}
