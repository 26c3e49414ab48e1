package effect

import "redwingsill/core/snapshot"

// Publish replaces the snapshot that the gateway reads.
type Publish struct {
	Snapshot snapshot.Snapshot
}

func (Publish) effect() {}
