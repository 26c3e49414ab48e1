package flood

import (
	"time"

	"redwingsill/core/duration"
	"redwingsill/core/resource"
)

// deployment is one service of a real installation at its full size: its backend servers, ranks and normal load.
type deployment struct {
	name    string
	servers int
	// slots is the number of requests that each server runs concurrently.
	slots int
	// meanServiceTime is the mean time for which a request occupies a slot.
	meanServiceTime time.Duration
	// ranks and streams are listed from the most urgent rank, which is worth the most, to the least urgent one. A stream
	// gives a rank's name, its normal load as a multiple of the capacity, and whether its requests must not run twice.
	ranks   []resource.Rank
	streams []stream
}

// millis returns a duration of n milliseconds.
func millis(n int) duration.Duration { return duration.Of(time.Duration(n) * time.Millisecond) }

// deployments are the deployments that [Benchmark.Run] measures.
var deployments = []deployment{
	{name: "costa-sur", servers: 13, slots: 2, meanServiceTime: 10 * time.Millisecond,
		ranks: []resource.Rank{
			{Name: "dispatch", Urgency: 0, Target: millis(250), Worth: 100, QueueLimit: 200},
			{Name: "reservation", Urgency: 1, Target: millis(500), Worth: 30, Floor: 0.1, QueueLimit: 200},
			{Name: "stock", Urgency: 2, Target: millis(3000), Worth: 1, Floor: 0.05, QueueLimit: 400},
		},
		streams: []stream{{"dispatch", 0.15, true}, {"reservation", 0.2, true}, {"stock", 0.25, false}}},
	{name: "addis", servers: 11, slots: 6, meanServiceTime: 20 * time.Millisecond,
		ranks: []resource.Rank{
			{Name: "deposit", Urgency: 0, Target: millis(300), Worth: 50, QueueLimit: 200},
			{Name: "status", Urgency: 1, Target: millis(1000), Worth: 5, Floor: 0.1, QueueLimit: 300},
			{Name: "catalogue", Urgency: 2, Target: duration.Of(8 * time.Hour), Worth: 0.2, Floor: 0.05, QueueLimit: 2000},
		},
		streams: []stream{{"deposit", 0.15, true}, {"status", 0.25, false}, {"catalogue", 0.2, false}}},
}
