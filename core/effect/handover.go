package effect

import (
	"redwingsill/core/message"
	"redwingsill/core/release"
)

// HandOver sends dedup entries to the successor host of a release.
type HandOver struct {
	Release release.Release
	Adopt   message.Adopt
}

func (HandOver) effect() {}
