package leader

import (
	"time"

	"redwingsill/core/grant"
)

// holding is who has the permit for one backend server.
type holding struct {
	host        string
	incarnation int64
	grant       grant.Grant
	origin      grant.Grant
	// until is when every permit sent for it has surely ended.
	until time.Time
	// sentRound is the round in which the permit was first sent, and isRefused says that the holder reports since without
	// it.
	sentRound int64
	isRefused bool
	// idleSince is when the last permit of the holder before had surely ended.
	idleSince time.Time
	// isReleased says that the last holder gave the server up itself.
	isReleased bool
	// heir is the host that has the holder's memory, once the holder has released the server.
	heir string
}

func (h holding) isFree() bool { return h.host == "" }
