package entry

import (
	"redwingsill/core/effect"
	"redwingsill/core/event"
)

// input is an item of work for the control loop: an event or, if handOver is set, dedup entries to hand over.
type input struct {
	event    event.Event
	handOver *effect.HandOver
}
