package event

import "redwingsill/core/release"

// ReleaseRequested asks a lease holder to stop serving units or its whole server.
type ReleaseRequested struct {
	Release release.Release
}

func (ReleaseRequested) event() {}

// ServerName implements [ServerEvent].
func (e ReleaseRequested) ServerName() string { return e.Release.Server }
