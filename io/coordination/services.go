package coordination

import (
	"slices"
	"time"

	"redwingsill/core/instance"
)

// loadNewServices loads the owners of sharded services that the coordinator does not manage yet.
func (c *Coordination) loadNewServices(now time.Time) {
	if !c.tenure.isCoordinator || !now.Before(c.tenure.leaseEnd) {
		return // without a lease the ownership would be dropped again at once
	}
	for name, s := range c.routing.Read().Services {
		if _, ok := c.services[name]; !ok && s.IsSharded {
			service := &shardedService{}
			c.services[name] = service
			c.loadOwners(name, service)
		}
	}
}

// stepService advances the ownership of one service to now. It drops the ownership if this host may no longer send
// commands for it or another host is the coordinator.
func (c *Coordination) stepService(name string, service *shardedService, now time.Time) {
	if !service.isLoaded {
		return
	}
	current, _ := c.coordinatorRevision()
	if !service.state.IsActing(now) || !c.tenure.isCoordinator && current != 0 && current != c.tenure.revision {
		c.log.Info("ownership dropped", "Service", name, "Deposed", service.state.IsDeposed())
		delete(c.services, name)
		return
	}
	p := c.slotServer.Pool(name)
	members := c.roster.Read().OfService(name)
	if !slices.Equal(members, service.members) {
		service.members = members
		service.state = service.state.WithMembers(members, now)
	}
	if now.Sub(service.capacitiesAt) >= c.timing.WaitingInterval {
		service.capacitiesAt = now
		all := capacities(members, p.Slowness())
		withColdCapacities(all, members, c.routing.Read().Services[name], p.MeanServiceTime(), now)
		service.state = service.state.WithCapacities(all)
	}
	state, commands := service.state.WithTick(p, now)
	service.state = state
	c.reportEvents(name, service, now)
	c.execute(name, service, commands, now)
}

// capacities returns, by incarnation, how many requests of average duration each backend server runs concurrently. The
// slownesses are the servers' response times relative to the service's average, by incarnation.
func capacities(members []instance.Instance, slownesses map[string]float64) map[string]float64 {
	all := make(map[string]float64, len(members))
	for _, m := range members {
		slowness, ok := slownesses[m.Incarnation()]
		if !ok {
			slowness = 1
		}
		all[m.Incarnation()] = float64(m.Slots) / min(maxSlowness, max(minSlowness, slowness))
	}
	return all
}
