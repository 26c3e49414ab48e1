package resource

import "redwingsill/core/duration"

// OwnershipPolicy declares how the ownership of one service's keys may move.
type OwnershipPolicy struct {
	Name    string
	Service string
	// HotKeys is the maximum number of keys with an owner of their own in one data centre.
	HotKeys int
	// MaxMoves is the maximum number of hash slots and keys moved in one balancing round. Moves of units away
	// from a server that has become unusable are not limited.
	MaxMoves int
	// MoveInterval is the minimum time between two balancing rounds.
	MoveInterval duration.Duration
}

// ResourceName implements [Resource].
func (p OwnershipPolicy) ResourceName() string { return p.Name }

func (OwnershipPolicy) resource() {}
