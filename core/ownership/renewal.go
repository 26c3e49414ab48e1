package ownership

import "time"

// renewal is the grants of one range.
type renewal struct {
	id       int64
	owner    string
	fence    int64
	sentAt   time.Time
	isOpen   bool
	handover string
}
