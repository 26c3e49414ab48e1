package notification

// ContactAsked asks a host for its contact with the store, and tells it of the coordinator of a revision.
type ContactAsked struct{ Coordinator int64 }

func (ContactAsked) notice() {}
