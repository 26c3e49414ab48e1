package notice

// ContactAsked asks a host for its contact with the store.
type ContactAsked struct{}

func (ContactAsked) notice() {}
