package pool

import "time"

const (
	// defaultServiceTime is the service time assumed for a rank before any was measured. It is typical of the
	// deployments that the router was built for.
	defaultServiceTime = 150 * time.Millisecond
	// maxOwnerWait is how long a request may have waited, in all queues together, before it is refused because no server
	// serves its key. A move of a key usually takes about as long.
	maxOwnerWait = 1500 * time.Millisecond
	// resultGrace is how long after its deadline a request without a result keeps its slot, so that a result sent at
	// the deadline still arrives.
	resultGrace = 300 * time.Millisecond
	// externalCountLifetime is how long the number of a server's requests that did not come through the pool is used
	// after the server reported its load: about the duration of a request.
	externalCountLifetime = 250 * time.Millisecond
	// warmUpFactor is how many times slower a server is assumed to be while it warms up.
	warmUpFactor = 2
	// minBackoff and maxBackoff bound how long a failing server gets no requests. The time doubles with each failure in
	// a row.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
	// silenceFactor times the mean service time is how long a server must not have answered before a time-out counts as its
	// failure. A machine that is slow for a moment takes three times as long.
	silenceFactor = 4
	// hostBlockTime is how long a host that could not reach a server gets no slots there. minUnreachableHosts is how
	// many hosts must be unable to reach a server before no host gets slots there, since a network partition may cut
	// off only some hosts.
	hostBlockTime       = 900 * time.Millisecond
	minUnreachableHosts = 2
	// returnTime is how long after the end of a pause, at most, a host gets only one slot at a time at the server that asked
	// for the pause. An answer ends it earlier.
	returnTime = time.Second
	// maxFailureRate is the rate of failed requests, from 0 to 1, above which requests that are not idempotent prefer
	// other servers, and [Pool.OwnerLoads] reports no free slots.
	maxFailureRate = 0.25
	// failureWeight is the weight of the newest request in a server's failure rate, a moving average.
	failureWeight = 0.2
	// minServiceTimeFraction is the part of the average service time that must lie between the expected start of a
	// waiting request and its deadline, or the request is refused. Half of all requests take less than 0.7 of the average.
	minServiceTimeFraction = 0.5
	// unreachableRetryAfter is the RetryAfter of a refusal because the requesting host can't reach the key's owner, or
	// the owner is backing off. It is short, since another host may reach the owner.
	unreachableRetryAfter = 250 * time.Millisecond
	// noServerRetryAfter is the RetryAfter of a refusal because no backend server can take the request, or its key has
	// no owner.
	noServerRetryAfter = time.Second
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// objectiveFraction is the part of the time left to the objective that a server's expected time must not exceed for
	// its answer to count as in time. The rest is a margin, since service times vary by about twice their mean.
	objectiveFraction = 0.5

	// minSlownessWeight is the lowest weight of the newest response in a server's slowness, the moving average of its
	// response times relative to the mean service time.
	minSlownessWeight = 0.15
	// minSlowness bounds from below the slowness by which service times and capacities are divided.
	minSlowness = 0.2
	// maxRelativeTime caps the response time of one request in a server's slowness, as a multiple of the mean service time.
	maxRelativeTime = 8
	// minMeanServiceTime is the lowest mean service time by which response times are divided.
	minMeanServiceTime = time.Millisecond
	// overdueFactor times the time that a server's oldest request has run, relative to the mean service time, is a lower
	// bound of the server's slowness. The server counts as slow once that request has run for twice the mean.
	overdueFactor = 0.5
	// maxCountedFailureRate caps the failure rate in the expected time, which would be infinite at 1.
	maxCountedFailureRate = 0.9
	// minSamples is the number of responses below which a server is preferred, so that it is measured early.
	minSamples = 3
	// maxRankWeight caps the weight of a rank, in requests, in the mean service time of all ranks.
	maxRankWeight = 50

	// failurePenalty and latePenalty are parts of a server's cost. A server in another data centre adds 1. Each penalty
	// outweighs the smaller ones together.
	failurePenalty = 4
	latePenalty    = 2
)
