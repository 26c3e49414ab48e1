package dispatch

import (
	"time"

	"redwingsill/core/contact"
)

// told is another host's contact with the store, and when it told it.
type told struct {
	contact contact.Contact
	at      time.Time
}
