package coordination

import (
	"time"

	"redwingsill/core/ownershipevent"
)

// reportEvents logs and counts what happened to the owners of a service's keys since the last step.
func (c *Coordination) reportEvents(name string, service *shardedService, now time.Time) {
	for _, event := range service.state.Events() {
		switch e := event.(type) {
		case ownershipevent.RangeFreed:
			c.metrics.CountFreedRange(name, e.Reason)
			// MayHoldFor is how long the owner may still hold the range, as far as its grants tell. It is negative if they have
			// expired, and 0 if there were none.
			message := "range freed"
			if e.Reason == ownershipevent.Expired || e.Reason == ownershipevent.OwnerEnded {
				message = "range freed without release" // its own message, so that the more frequent ones don't use up its limit
			}
			c.log.Info(message, "Service", name, "Range", e.Range.String(), "Reason", e.Reason.String(), "Server", e.Owner, "Fence", e.Fence,
				"MayHoldFor", remaining(e.MayHoldUntil, now))
		case ownershipevent.RangeFenced:
			c.metrics.CountFencedRange(name, e.Reason)
			c.log.Info("range fenced", "Service", name, "Range", e.Range.String(), "Reason", e.Reason.String(), "Server", e.Owner, "Fence", e.Fence)
		case ownershipevent.RangeAcquired:
			c.log.Info("range acquired", "Service", name, "Range", e.Range.String(), "Server", e.Owner, "Fence", e.Fence, "From", e.PreviousOwner)
		case ownershipevent.ServerEnded:
			c.log.Info("backend server ended", "Service", name, "Server", e.Server, "Address", e.Address)
		}
	}
	service.state = service.state.WithoutEvents()
}

// remaining returns the time from now until t, or 0 if t is the zero time.
func remaining(t, now time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return t.Sub(now)
}
