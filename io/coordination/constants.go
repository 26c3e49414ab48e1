package coordination

import "time"

const (
	// coordinatorStepInterval is the longest time between two steps of the coordinator. It is a small fraction of every
	// hold time, for which a backend server holds granted keys.
	coordinatorStepInterval = 60 * time.Millisecond
	// minStepInterval is the shortest time between two steps, less than a round trip to a backend server. The next step
	// handles all results that arrive meanwhile.
	minStepInterval = 3 * time.Millisecond
	// stepPauseRatio times the duration of a step is the shortest time until the next one, so that at least two thirds of the
	// processor are left for the slot requests that the coordinator answers.
	stepPauseRatio = 2
	// idleStepInterval is the longest time between two steps of a host that is not the coordinator and manages no
	// services.
	idleStepInterval = 250 * time.Millisecond
	// renewalsPerLease is how often a lease is renewed within its duration.
	renewalsPerLease = 3
	// campaignStagger is the extra time that each host waits, compared with the host ranked before it, before it
	// campaigns: a few response times of the store. Hosts ranked after lateCampaignRank use lateCampaignStagger instead:
	// that many hosts are rarely lost at once, and the last of a hundred hosts should not wait long.
	campaignStagger     = 60 * time.Millisecond
	lateCampaignRank    = 15
	lateCampaignStagger = 10 * time.Millisecond
	// maxCheckers is how many of the top-ranked hosts read the coordinator's key every checkInterval while the
	// coordinator does not answer.
	maxCheckers   = 3
	checkInterval = 500 * time.Millisecond
	// newEraHeadStart is how long other hosts leave the coordinator's key to the coordinator of the era before, which knows its grants:
	// it learns of the new era by the next renewal of its lease at the latest, and then needs a few response times of the store.
	newEraHeadStart = 1200 * time.Millisecond
	// campaignRetryDelay is the shortest time from the start of a failed campaign to the start of the next one.
	campaignRetryDelay = 250 * time.Millisecond
	// reachabilityInterval is the shortest time between two requests to all hosts for their reachability records.
	reachabilityInterval = 200 * time.Millisecond
	// loadRetryDelay is the time after which a service's owners are read again if they could not be read.
	loadRetryDelay = 250 * time.Millisecond
	// electorateInterval is the shortest time between two writes of the electorate.
	electorateInterval = 5 * time.Second
	// saveRetryDelay is the time after which a write of owners or of the electorate is retried if its result is unknown.
	saveRetryDelay = 150 * time.Millisecond
	// resignRetryDelay is the shortest time from the start of an attempt to revoke the lease to the next attempt.
	resignRetryDelay = 600 * time.Millisecond
	// resignTimeout bounds the call that revokes the lease.
	resignTimeout = 500 * time.Millisecond
	// resultBuffer is the capacity of the channel for the results of completed calls, several of which may end at the
	// same time.
	resultBuffer = 64
	// minSlowness and maxSlowness bound the slowness by which a server's slots are divided to get its capacity, so that a
	// single outlier moves few keys. The slowness is the response time relative to the service's average.
	minSlowness = 0.5
	maxSlowness = 4
)
