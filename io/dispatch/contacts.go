package dispatch

import (
	"redwingsill/core/contact"
	"redwingsill/core/notice"
)

// AskContacts asks all other hosts for their contact with the store.
func (d *Dispatch) AskContacts() {
	for _, h := range d.directory.Read().All() {
		if h.Name != d.name {
			d.send(h.Address, notice.ContactAsked{})
		}
	}
}

// Contacts returns this host's contact with the store, and those that others have told just now.
func (d *Dispatch) Contacts() []contact.Contact {
	all := []contact.Contact{d.contact()}
	now := d.now()
	for _, h := range d.directory.Read().All() {
		if t, ok := d.contacts.Load(h.Address); ok && h.Name != d.name && now.Sub(t.(told).at) <= contactFresh {
			all = append(all, t.(told).contact)
		}
	}
	return all
}
