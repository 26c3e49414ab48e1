package redwingsill_test

import (
	"fmt"
	"time"

	"redwingsill"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/timing"
)

// Step takes one event and returns the next state and the effects to perform. After its start, a host lists the hosts and
// reads the configuration from the platform.
func ExampleNew() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	h := redwingsill.New("ilo-1", "ilo", 1, timing.Default(), now)
	h, effects := h.Step(event.Ticked{}, now.Add(2*time.Second))
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ListHosts:
			fmt.Println("list hosts")
		case effect.ReadKey:
			fmt.Println("read", e.Key)
		default:
		}
	}
	fmt.Println("ready:", h.Snapshot().IsReady)
	// Output:
	// list hosts
	// read redwingsill/configuration
	// ready: false
}
