package leader

import (
	"time"

	"redwingsill/core/grant"
)

// holding is who has the permit for one backend server.
type leaseState struct {
	holder      string
	incarnation int64
	grant       grant.Grant
	origin      grant.Grant
	// until is when every permit sent for it has surely ended.
	expiry time.Time
	// sentRound is the round in which the permit was first sent, and isRefused says that the holder reports since without
	// it.
	firstRound int64
	isMissing  bool
	// idleSince is when the last permit of the holder before had surely ended.
	idleSince time.Time
	// isReleased says that the last holder gave the server up itself.
	isReleased bool
	// heir is the host that has the holder's memory, once the holder has released the server.
	heir string
}

func (s leaseState) isFree() bool { return s.holder == "" }
