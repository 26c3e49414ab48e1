package event

import "redwingsill/core/release"

// Released reports that a release is complete: it has no successor, or the handover to the successor host has been
// acknowledged or has timed out.
type Released struct {
	Release release.Release
	// Adopted is set when the successor host has acknowledged the dedup entries.
	Adopted bool
}

func (Released) event() {}
