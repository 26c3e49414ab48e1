package pool

import "time"

const (
	// unknownWork is the time that a request is thought to take before any was measured. Typical of the deployments
	// that the router was built for.
	unknownWork = 150 * time.Millisecond
	// ownerWait bounds the time that a request waits for its key to get an owner: that of an ordinary move.
	ownerWait = 1500 * time.Millisecond
	// runSlack is how long after its deadline a request without a report counts as running: the report's way.
	runSlack = 300 * time.Millisecond
	// foreignHold is the time after which a server's own count of requests from elsewhere has lost its meaning: about
	// the length of a request.
	foreignHold = 250 * time.Millisecond
	// warmFactor is how much slower a server is thought to be that has just started.
	warmFactor = 2
	// restFirst and restMost bound how long a server rests that can't be reached; it doubles with each failure in a row.
	restFirst = 400 * time.Millisecond
	restMost  = 3200 * time.Millisecond
	// blockedFor is how long a host that could not reach a server leaves it alone, and unreachableHosts how many hosts must
	// fail so before the server rests for all: a cut may keep only some hosts from it.
	blockedFor       = 900 * time.Millisecond
	unreachableHosts = 2
	// doubtful is the part of failed requests from which on work that must not repeat goes elsewhere.
	doubtful = 0.25
	// failureWeight is the part of the newest request in a server's rate of failures.
	failureWeight = 0.2
	// leastPart is the part of the average work that a request may get by with: half of all take less than 0.7 of it.
	leastPart = 0.5
	// unreachableRetry is what a caller is told whose key's owner can't be reached from this host: another may reach it.
	unreachableRetry = 250 * time.Millisecond
	// retryLeast and retryMost bound what a refused caller is told to wait.
	retryLeast = 50 * time.Millisecond
	retryMost  = 5 * time.Second
	// abroadMargin is how much of the time to the objective an answer from the own data centre may be expected to take
	// before one from elsewhere is considered: work varies by about twice its mean.
	abroadMargin = 0.5
)
