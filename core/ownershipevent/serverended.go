package ownershipevent

// ServerEnded means that another backend server answers at the address where an incarnation answered before.
type ServerEnded struct {
	// Server is the incarnation that has ended.
	Server  string
	Address string
}

func (ServerEnded) isEvent() {}
