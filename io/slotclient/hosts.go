package slotclient

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"redwingsill/core/notification"
)

// candidate is a host that may give out the slots of a service.
type candidate struct {
	Name    string
	Address netip.AddrPort
}

// candidates returns the hosts to ask, best first: for work that needs an owner the coordinator, then the first ones of
// the service's order that are not silent. All hosts that reach each other find the same ones.
func (d *SlotClient) candidates(service string, hasKey bool) []candidate {
	hosts := d.directory.Read()
	silent := *d.silent.Read()
	found := make([]candidate, 0, mostCandidates+1)
	if h, ok := hosts.Find(hosts.Coordinator); ok && hasKey {
		if _, isSilent := silent[h.Address]; !isSilent || h.Name == d.name {
			found = append(found, candidate{Name: h.Name, Address: h.Address})
		}
	}
	for _, h := range hosts.TopRanked(service, mostCandidates-len(found), func(name string) bool {
		if name == hosts.Coordinator {
			return hosts.Len() > 1 // the coordinator has enough to do
		}
		return name != d.name && len(silent) > 0 && d.IsSilent(name)
	}) {
		found = append(found, candidate{Name: h.Name, Address: h.Address})
	}
	return found
}

// suspect notes that a host does not answer.
func (d *SlotClient) suspect(at netip.AddrPort, now time.Time) {
	isNew := false
	d.silent.Update(func(old map[netip.AddrPort]time.Time) map[netip.AddrPort]time.Time {
		if _, known := old[at]; known {
			isNew = false
			return old
		}
		isNew = true
		next := maps.Clone(old)
		next[at] = now
		return next
	})
	if isNew {
		d.log.Info("entry host does not answer", "Address", at, "Patience", patience)
	}
}

// heard notes that a host is there.
func (d *SlotClient) heard(from netip.AddrPort) {
	if _, ok := (*d.silent.Read())[from]; !ok {
		return
	}
	d.log.Info("entry host answers again", "Address", from)
	d.silent.Update(func(old map[netip.AddrPort]time.Time) map[netip.AddrPort]time.Time {
		next := maps.Clone(old)
		delete(next, from)
		return next
	})
}

// IsSilent reports whether a known host does not answer.
func (d *SlotClient) IsSilent(name string) bool {
	h, ok := d.directory.Read().Find(name)
	if !ok {
		return false
	}
	_, isSilent := (*d.silent.Read())[h.Address]
	return isSilent
}

// Silent returns how many known hosts do not answer.
func (d *SlotClient) Silent() int { return len(*d.silent.Read()) }

// Receive handles the socket's notices until the context ends.
func (d *SlotClient) Receive(ctx context.Context) {
	d.socket.Receive(ctx, d.Handle, func(err error) { d.log.Debug("datagram dropped", "Error", err) })
}

// Tick tells each host which of its slots are in use, tries silent hosts again, and sets how much of the slots the desk
// may give out: all where other hosts ask it, else an even share, since others may be doing the same.
func (d *SlotClient) Tick(services []string) {
	now := d.now()
	for address, since := range *d.silent.Read() {
		if now.Sub(since) >= silentFor {
			d.send(address, notification.Ping{})
		}
	}
	d.tellHeld()
	for _, service := range services {
		d.desk.SetShare(service, d.share(service, now))
	}
}

func (d *SlotClient) share(service string, now time.Time) float64 {
	if at, ok := d.askedAt.Load(service); ok && now.Sub(at.(time.Time)) < mainFor {
		return 1
	}
	hosts := d.directory.Read()
	if hosts.Coordinator == d.name {
		return 1
	}
	first := hosts.TopRanked(service, 1, func(name string) bool { return name == hosts.Coordinator })
	if len(first) == 0 || first[0].Name == d.name {
		return 1
	}
	return 1 / float64(hosts.Len())
}

// tellHeld tells each host that gave out slots lately which of them are in use, also when none is: a report may be lost.
func (d *SlotClient) tellHeld() {
	held := map[holder][]uint64{}
	now := d.now()
	d.holders.Range(func(key, usedAt any) bool {
		held[key.(holder)] = nil
		if now.Sub(usedAt.(time.Time)) > holderFor {
			d.holders.Delete(key)
		}
		return true
	})
	d.slots.Range(func(_, value any) bool {
		if s := value.(Slot); !s.isHere() {
			h := holder{at: s.at, service: s.service}
			held[h] = append(held[h], s.ticket)
		}
		return true
	})
	for h, tickets := range held {
		if len(tickets) <= mostHeld { // a longer list would not name all, and what it leaves out would be freed
			d.send(h.at, notification.HeldSlots{Service: h.service, Host: d.host, Tickets: tickets})
		}
	}
}
