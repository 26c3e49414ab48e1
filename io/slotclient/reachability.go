package slotclient

import (
	"redwingsill/core/notification"
	"redwingsill/core/reachability"
)

// AskContacts tells all other hosts of the coordinator of a revision, and asks them for their contact with the store.
func (d *SlotClient) AskContacts(coordinator int64) {
	d.hearOf(coordinator)
	for _, h := range d.directory.Read().All() {
		if h.Name != d.name {
			d.send(h.Address, notification.ReachabilityRequested{CoordinatorRevision: coordinator})
		}
	}
}

// Contacts returns this host's contact with the store, and those that others have told just now.
func (d *SlotClient) Contacts() []reachability.Reachability {
	all := []reachability.Reachability{d.ownContact()}
	now := d.now()
	for _, h := range d.directory.Read().All() {
		if t, ok := d.contacts.Load(h.Address); ok && h.Name != d.name && now.Sub(t.(told).at) <= contactFresh {
			all = append(all, t.(told).contact)
		}
	}
	return all
}

func (d *SlotClient) ownContact() reachability.Reachability {
	return d.contact().WithCoordinatorRevision(d.newest.Load())
}

// hearOf notes a coordinator, of which the one with the highest revision is the newest.
func (d *SlotClient) hearOf(coordinator int64) {
	for {
		known := d.newest.Load()
		if coordinator <= known || d.newest.CompareAndSwap(known, coordinator) {
			return
		}
	}
}
