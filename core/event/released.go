package event

import "redwingsill/core/release"

// Released reports that a lease holder has completed a release: its dedup entries were handed over, or there is no
// successor.
type Released struct {
	Release release.Release
	// Adopted is set when the successor host has acknowledged the dedup entries.
	Adopted bool
}

func (Released) event() {}
