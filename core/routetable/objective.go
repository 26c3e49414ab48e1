package routetable

import (
	"slices"
	"time"

	"redwingsill/core/destination"
)

// Objective returns the shortest response time that a rule of a service sets as its target, or 0 if none sets one.
func (t Table) Objective(service string) time.Duration {
	shortest := time.Duration(0)
	for _, rules := range t.byHost {
		for _, r := range rules {
			isServed := slices.ContainsFunc(r.Destinations, func(d destination.Destination) bool { return d.Service == service && d.Weight > 0 })
			if isServed && r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
				shortest = r.Objective
			}
		}
	}
	return shortest
}
