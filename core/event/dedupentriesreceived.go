package event

import "redwingsill/core/message"

// DedupEntriesReceived passes the previous lease holder's dedup entries to the new one.
type DedupEntriesReceived struct {
	Adopt message.Adopt
}

func (DedupEntriesReceived) event() {}

// ServerName implements [ServerEvent].
func (e DedupEntriesReceived) ServerName() string { return e.Adopt.Server }
