package effect

import "redwingsill/core/snapshot"

// Publish replaces the snapshot by which the host routes requests.
type Publish struct {
	Snapshot snapshot.Snapshot
}

func (Publish) effect() {}
