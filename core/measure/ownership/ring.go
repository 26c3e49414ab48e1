package ownership

// ring is the baseline of consistent hashing, with 64 points for each server.
type ring struct{}

func (ring) strategy() {}
