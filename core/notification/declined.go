package notification

// Declined says that the host gives out no slots: it stops, or does not know the backend servers yet.
type Declined struct{ Ticket uint64 }

func (Declined) notice() {}
