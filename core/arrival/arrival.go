// Package arrival decides whether a request that has just arrived waits for the one backend server that can run it. It answers the load of
// an owner of keys that is asked for more than it can run: if all requests waited as long as their deadline allows, each would be
// answered just too late for its objective, and the slots would serve nobody in time.
package arrival

import "time"

// Arrival is a request at its arrival, while others wait for its server.
type Arrival struct {
	// Wait is the expected time until the request starts, and ServiceTime the mean time that its server then takes.
	Wait, ServiceTime time.Duration
	// ToObjective is the time left until the objective. It is 0 or less if the objective has passed or the route has none.
	ToObjective time.Duration
}

// IsRefused reports whether the request is refused at once, since it is expected to be answered after its objective. Its caller can
// then use the time that is left, for a return or otherwise. A request without an objective that can be met waits for its deadline.
// Service times vary, so some of those that wait end late. A margin for that would refuse callers for whom a late answer has worth.
func (a Arrival) IsRefused() bool {
	return a.ToObjective > 0 && a.Wait+a.ServiceTime > a.ToObjective
}

// RetryAfter returns when the requests that are ahead now will have started. Callers are refused one by one as they arrive, so
// their returns are spread as their arrivals were.
func (a Arrival) RetryAfter() time.Duration { return a.Wait }
