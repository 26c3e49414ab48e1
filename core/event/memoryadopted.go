package event

import "redwingsill/core/message"

// MemoryAdopted hands a steward the memory of request ids of the one before.
type MemoryAdopted struct {
	Adopt message.Adopt
}

func (MemoryAdopted) event() {}

// ServerName implements [ServerEvent].
func (e MemoryAdopted) ServerName() string { return e.Adopt.Server }
