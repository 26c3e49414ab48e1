package coordination

import "time"

const (
	// coordinatorStepInterval is the longest time between two steps of the coordinator. It is a fraction of any hold time.
	coordinatorStepInterval = 60 * time.Millisecond
	// minStepInterval is the shortest time between two steps: part of a round trip to a backend server. The next step
	// handles all results that arrive meanwhile.
	minStepInterval = 3 * time.Millisecond
	// idleStepInterval is the longest time between two steps of a host that is not the coordinator.
	idleStepInterval = 250 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed within its duration.
	renewalsPerLease = 3
	// campaignStagger is how long each host waits after the host ranked before it until it campaigns: a few response
	// times of the store. From lateCampaignRank on it is lateCampaignStagger: that many hosts are rarely lost at once,
	// and the last of a hundred hosts should not wait long.
	campaignStagger     = 60 * time.Millisecond
	lateCampaignRank    = 15
	lateCampaignStagger = 10 * time.Millisecond
	// maxCheckers is how many of the top-ranked hosts read the coordinator's key every checkInterval while the
	// coordinator does not answer.
	maxCheckers   = 3
	checkInterval = 500 * time.Millisecond
	// campaignRetryDelay is the shortest time from the start of a failed campaign to the start of the next one.
	campaignRetryDelay = 250 * time.Millisecond
	// reachabilityInterval is the time between two requests to all hosts for their reachability records.
	reachabilityInterval = 200 * time.Millisecond
	// saveRetryDelay is the time between two attempts to write a service's owners.
	saveRetryDelay = 150 * time.Millisecond
	// resignRetryDelay is the time between two attempts to revoke the lease.
	resignRetryDelay = 600 * time.Millisecond
	// resignTimeout bounds the call that revokes the lease.
	resignTimeout = 500 * time.Millisecond
	// resultBuffer is the capacity of the channel for the results of completed calls, several of which may end at the
	// same time.
	resultBuffer = 64
	// minSlowness and maxSlowness bound the relative service time by which a server's slots are divided to get its
	// capacity, so that a single outlier moves few keys.
	minSlowness = 0.5
	maxSlowness = 4
)
