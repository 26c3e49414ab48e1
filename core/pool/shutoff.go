package pool

import (
	"redwingsill/core/placement"
	"redwingsill/core/slotrequest"
)

// refusalOfShutOff returns the refusal of a request whose key's owner gets nothing any more, since its data centre is evacuated
// and the key has not moved. The key can't be served before the owner's grants have expired, about a second later.
func refusalOfShutOff(r slotrequest.SlotRequest) placement.Refuse {
	return placement.Refuse{Ticket: r.Ticket, Reason: placement.NoOwner, RetryAfter: noServerRetryAfter}
}
