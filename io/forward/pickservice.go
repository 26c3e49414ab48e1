package forward

import (
	"maps"
	"math/rand/v2"

	"redwingsill/core/rule"
	"redwingsill/core/weighted"
)

// PickService returns the service for one request of a route, by weighted round-robin over its destinations.
func (f *Forwarder) PickService(route *rule.Rule) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	picked := ""
	f.selectors.Update(func(old map[string]weighted.RoundRobin) map[string]weighted.RoundRobin {
		next := maps.Clone(old)
		selector, ok := next[route.Name]
		if !ok || !selector.Matches(route.Destinations) {
			selector = weighted.New(route.Destinations, rand.Float64())
		}
		picked, next[route.Name] = selector.Next()
		return next
	})
	return picked
}
