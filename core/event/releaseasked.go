package event

import "redwingsill/core/release"

// ReleaseAsked orders a steward to give up units or its whole server.
type ReleaseAsked struct {
	Release release.Release
}

func (ReleaseAsked) event() {}

// ServerName implements [ServerEvent].
func (e ReleaseAsked) ServerName() string { return e.Release.Server }
