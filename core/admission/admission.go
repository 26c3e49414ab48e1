// Package admission decides at its arrival whether a request waits for a slot or is refused at once, given how long it would
// wait and run. It answers the load of a server that is asked for more than it can run: without it all requests wait until
// they are just too late. The alternatives are compared in docs/design/admission.md.
package admission

import "time"

const (
	// margin is the multiple of the mean deviation of service times that is added to their mean when an answer counts as in
	// time. Of 0, 0.5, 1 and 2, 0.5 gave the most answers in time at the load that a server can just run.
	margin = 0.5
	// overload is the work asked for, relative to what the servers can run, from which requests that can only be late are
	// refused. Below it their queue ends soon. The measured load varies by about a fifth, so 1 would refuse at half load.
	overload = 1.2
	// overloadWaitFraction is the part of the room for waiting that a queue may fill under overload. Longer queues gain no
	// work, and a shorter one leaves a margin for slow answers ahead.
	overloadWaitFraction = 0.5
	// maxRetryFraction is the part of the time left up to which callers honour a Retry-After.
	maxRetryFraction = 1.0 / 3
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// minServiceTimeFraction is the part of the mean service time that must lie between the expected start of a request and
	// its deadline. Half of all requests take less than 0.7 of the mean.
	minServiceTimeFraction = 0.5
)

// Admission is what is known of a request at its arrival.
type Admission struct {
	// Wait is the expected time to the request's start.
	Wait time.Duration
	// ServiceTime and Deviation are the mean and the mean deviation of the time that the servers in question take.
	ServiceTime, Deviation time.Duration
	// ToObjective and ToDeadline are the times left.
	ToObjective, ToDeadline time.Duration
	// Load is the work asked for, relative to what the servers can run.
	Load float64
	// IsRetry is set for a further attempt at a request that a server has not run.
	IsRetry bool
}

// IsOverload reports whether the work asked for, relative to what the servers can run, is an overload.
func IsOverload(load float64) bool { return load > overload }

// TimeInTime returns the service time by which an answer counts as in time: the mean and a margin for its spread.
func TimeInTime(serviceTime, deviation time.Duration) time.Duration {
	return serviceTime + time.Duration(margin*float64(deviation))
}

// IsRefused reports whether the request is refused: it can't be answered before its deadline or, under overload, it is unlikely
// to be answered within its objective.
func (a Admission) IsRefused() bool {
	if a.Wait <= 0 {
		return false
	}
	return a.Wait+time.Duration(minServiceTimeFraction*float64(a.ServiceTime)) > a.ToDeadline || IsOverload(a.Load) && a.Wait > a.maxWait()
}

// maxWait returns how long a request may wait under overload. It is negative for one that can only be late. A further attempt may use
// the room that first attempts leave, since a refusal after a wait serves the caller worst.
func (a Admission) maxWait() time.Duration {
	room := a.ToObjective - TimeInTime(a.ServiceTime, a.Deviation)
	if a.IsRetry {
		return room
	}
	return min(room, time.Duration(overloadWaitFraction*float64(room)))
}

// RetryAfter returns when room is expected. The ticket spreads the returns of callers over one service time. A return that the
// caller can still use is kept within the time up to which callers honour it.
func (a Admission) RetryAfter(ticket uint64) time.Duration {
	room := a.Wait + time.Duration(minServiceTimeFraction*float64(a.ServiceTime)) - a.ToDeadline
	if IsOverload(a.Load) {
		// With no room for waiting at all, a later caller needs a free slot: the wait must be over.
		room = max(room, a.Wait-max(0, a.maxWait()))
	}
	room = max(minRetryAfter, room)
	after := room + spread(a.ServiceTime, ticket)
	if honoured := time.Duration(maxRetryFraction * float64(a.ToDeadline)); room <= honoured {
		after = min(after, honoured)
	}
	return min(maxRetryAfter, after)
}

// spread returns a part of a duration that differs between consecutive tickets.
func spread(over time.Duration, ticket uint64) time.Duration {
	const golden = 0x9E3779B97F4A7C15 // 2^64 divided by the golden ratio, as in Fibonacci hashing
	return over * time.Duration(ticket*golden>>56) / 256
}
