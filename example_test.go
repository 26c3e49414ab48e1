package redwingsill_test

import (
	"fmt"
	"time"

	"redwingsill"
	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/timing"
)

// A host is stepped by hand: one event in, the next state and the effects out. Here it has just started and asks the
// platform for the configuration.
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
