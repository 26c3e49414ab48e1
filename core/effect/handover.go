package effect

import (
	"redwingsill/core/message"
	"redwingsill/core/release"
)

// HandOver sends the memory of request ids to the heir of a release.
type HandOver struct {
	Release release.Release
	Adopt   message.Adopt
}

func (HandOver) effect() {}
