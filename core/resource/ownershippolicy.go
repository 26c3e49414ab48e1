package resource

import "redwingsill/core/duration"

// OwnershipPolicy declares how the ownership of one service's keys may move.
type OwnershipPolicy struct {
	Name    string
	Service string
	// HotKeys bounds the keys that have an owner of their own in one data centre.
	HotKeys int
	// MaxMoves bounds the slots and keys moved in one round for balance. Moves after a loss are not bounded.
	MaxMoves int
	// MoveInterval is the least time between two rounds of moves for balance.
	MoveInterval duration.Duration
}

// ResourceName implements [Resource].
func (p OwnershipPolicy) ResourceName() string { return p.Name }

func (OwnershipPolicy) resource() {}
