package slotclient

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"redwingsill/core/notification"
)

// candidate is a host that may give out slots of a service.
type candidate struct {
	Name    string
	Address netip.AddrPort
}

// candidates returns the hosts to ask for a slot, in order: the coordinator for requests with a key, then the
// top-ranked hosts of the service that respond. All hosts that reach each other find the same candidates.
func (c *SlotClient) candidates(service string, hasKey bool) []candidate {
	hosts := c.directory.Read()
	unresponsive := *c.unresponsive.Read()
	candidates := make([]candidate, 0, maxCandidates+1)
	if h, ok := hosts.Find(hosts.Coordinator); ok && hasKey {
		if _, isUnresponsive := unresponsive[h.Address]; !isUnresponsive || h.Name == c.name {
			candidates = append(candidates, candidate{Name: h.Name, Address: h.Address})
		}
	}
	for _, h := range hosts.TopRanked(service, maxCandidates-len(candidates), func(name string) bool {
		if name == hosts.Coordinator {
			return hosts.Len() > 1 // the coordinator's own work takes its capacity
		}
		return name != c.name && len(unresponsive) > 0 && c.IsUnresponsive(name)
	}) {
		candidates = append(candidates, candidate{Name: h.Name, Address: h.Address})
	}
	return candidates
}

// markUnresponsive records that a host does not respond.
func (c *SlotClient) markUnresponsive(host netip.AddrPort, now time.Time) {
	isNew := false
	c.unresponsive.Update(func(old map[netip.AddrPort]time.Time) map[netip.AddrPort]time.Time {
		if _, known := old[host]; known {
			isNew = false
			return old
		}
		isNew = true
		next := maps.Clone(old)
		next[host] = now
		return next
	})
	if isNew {
		close(c.swapSilenced(make(chan struct{})))
		c.log.Info("entry host does not answer", "Address", host, "Patience", responseTimeout)
	}
}

// swapSilenced replaces the channel that is closed when one more host becomes unresponsive, and returns the one before.
func (c *SlotClient) swapSilenced(next chan struct{}) chan struct{} {
	var previous chan struct{}
	c.silenced.Update(func(old chan struct{}) chan struct{} {
		previous = old
		return next
	})
	return previous
}

// markResponsive records that a host responds.
func (c *SlotClient) markResponsive(from netip.AddrPort) {
	if _, ok := (*c.unresponsive.Read())[from]; !ok {
		return
	}
	c.log.Info("entry host answers again", "Address", from)
	c.unresponsive.Update(func(old map[netip.AddrPort]time.Time) map[netip.AddrPort]time.Time {
		next := maps.Clone(old)
		delete(next, from)
		return next
	})
}

// IsUnresponsive reports whether the named host is known and does not respond.
func (c *SlotClient) IsUnresponsive(name string) bool {
	h, ok := c.directory.Read().Find(name)
	if !ok {
		return false
	}
	return c.isUnresponsive(h.Address)
}

func (c *SlotClient) isUnresponsive(host netip.AddrPort) bool {
	_, isUnresponsive := (*c.unresponsive.Read())[host]
	return isUnresponsive
}

// UnresponsiveHosts returns how many hosts do not respond, including those that have left the directory since.
func (c *SlotClient) UnresponsiveHosts() int { return len(*c.unresponsive.Read()) }

// Receive handles the socket's notifications until the context ends.
func (c *SlotClient) Receive(ctx context.Context) {
	c.socket.Receive(ctx, c.Handle, func(err error) { c.log.Debug("datagram dropped", "Error", err) })
}

// Tick pings unresponsive hosts, sends each host that gave out slots the list of those in use, and sets the share of
// each service's slots that this host's slot server may give out.
func (c *SlotClient) Tick(services []string) {
	now := c.now()
	for address, since := range *c.unresponsive.Read() {
		if now.Sub(since) >= pingDelay {
			c.send(address, notification.Ping{})
		}
	}
	c.sendHeldSlots()
	for _, service := range services {
		c.slotServer.SetShare(service, c.share(service, now))
	}
}

// share returns the fraction of a service's slots that this host may give out: 1 if it is the coordinator or the
// service's top-ranked host, or if another host has asked it for slots within fullShareDuration; else an even share,
// since other hosts may also give out slots by themselves.
func (c *SlotClient) share(service string, now time.Time) float64 {
	if requestedAt, ok := c.requestedAt.Load(service); ok && now.Sub(requestedAt.(time.Time)) < fullShareDuration {
		return 1
	}
	hosts := c.directory.Read()
	if hosts.Coordinator == c.name {
		return 1
	}
	top := hosts.TopRanked(service, 1, func(name string) bool { return name == hosts.Coordinator })
	if len(top) == 0 || top[0].Name == c.name {
		return 1
	}
	return 1 / float64(hosts.Len())
}

// sendHeldSlots sends each host whose slots this one uses the list of those in use. For slotSourceTTL after its last
// slot, a host is sent an empty list too, since the notification that releases a slot may be lost.
func (c *SlotClient) sendHeldSlots() {
	held := map[slotSource][]uint64{} // the tickets of the slots in use
	now := c.now()
	c.slotSources.Range(func(key, usedAt any) bool {
		held[key.(slotSource)] = nil
		if now.Sub(usedAt.(time.Time)) > slotSourceTTL {
			c.slotSources.Delete(key)
		}
		return true
	})
	c.slots.Range(func(_, value any) bool {
		if s := value.(Slot); !s.isLocal() {
			source := slotSource{host: s.host, service: s.service}
			held[source] = append(held[source], s.ticket)
		}
		return true
	})
	for source, tickets := range held {
		if len(tickets) <= maxHeldTickets { // a truncated list would free the slots that it leaves out
			c.send(source.host, notification.HeldSlots{Service: source.service, Host: c.hostID, Tickets: tickets})
		}
	}
}
