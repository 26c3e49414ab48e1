package message

import (
	"time"

	"redwingsill/core/lease"
	"redwingsill/core/requestrate"
	"redwingsill/core/versions"
)

// Report is a member's regular word to the arbiter that it follows.
type Report struct {
	Term        int64
	Member      string
	Incarnation int64
	// Round is the newest round of the arbiter's that the member has had.
	Round int64
	// SentAt is the member's clock, for the arbiter to send back.
	SentAt time.Time
	Stamp  versions.Versions
	// Digest stands for the member's valid permits. Holdings lists them, with the validity that is left,
	// where the arbiter has asked for them.
	Digest   uint64        `json:",omitempty"`
	Holdings []lease.Lease `json:",omitempty"`
	// HasHoldings says that Holdings is the whole list, though it may be empty.
	HasHoldings bool `json:",omitempty"`
	// Released lists the orders of release that are done; Adopted those whose memory the heir has.
	Released []int64 `json:",omitempty"`
	Adopted  []int64 `json:",omitempty"`
	// Leaving asks the arbiter to move all that the member holds.
	Leaving bool `json:",omitempty"`
	// Contender is the highest term of a candidate that the member has refused lately.
	Contender int64 `json:",omitempty"`
	// Heats are the hottest keys of the member's backend servers; KeyHash 0 stands for all requests of a server.
	Heats []requestrate.RequestRate `json:",omitempty"`
}

func (Report) message() {}
