package ownership

// ring is the baseline of consistent hashing, with [ringPointsPerServer] points for each server.
type ring struct{}

func (ring) strategy() {}
