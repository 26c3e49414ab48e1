package event

import "redwingsill/core/release"

// Released says that a steward has done an order of release and has handed its memory over, or had nobody to hand it
// to.
type Released struct {
	Release release.Release
	Adopted bool
}

func (Released) event() {}
