package notification

import "time"

// ServerCold tells the host that gave out a slot that the backend server is cold, and for how long. It is a notification of its own
// since hosts of an earlier version reject a longer [ServerAnnounced], but only ignore a notification that they don't know.
type ServerCold struct {
	Service     string
	Incarnation string
	ColdFor     time.Duration
}

func (ServerCold) notification() {}
