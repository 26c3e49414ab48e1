package entry

import (
	"redwingsill/core/effect"
	"redwingsill/core/event"
)

// input is what the control goroutine handles: an event, or a memory to hand over.
type input struct {
	event    event.Event
	handOver *effect.HandOver
}
