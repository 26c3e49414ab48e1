package ownershipevent

// ServerEnded means that the coordinator takes an incarnation of a backend server to have ended.
type ServerEnded struct {
	Server string
	// Address is where the incarnation was last known to be.
	Address string
	// By is the incarnation that has replaced it.
	By string
}

func (ServerEnded) isEvent() {}
