package notification

import "redwingsill/core/announcement"

// ServerAnnounced tells the host that gave out a slot what the backend server has announced to the sender. It precedes the
// report of the attempt, so that the freed slot is not given out as if nothing had been said.
type ServerAnnounced struct {
	Service string
	// Host identifies the sender. It is the upper 32 bits of each of its tickets.
	Host         uint32
	Incarnation  string
	Announcement announcement.Announcement
}

func (ServerAnnounced) notification() {}
