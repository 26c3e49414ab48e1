package notice

import "redwingsill/core/contact"

// ContactTold is a host's contact with the store.
type ContactTold struct{ Contact contact.Contact }

func (ContactTold) notice() {}
