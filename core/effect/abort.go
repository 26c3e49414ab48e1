package effect

// Abort cancels an attempt on a backend server.
type Abort struct {
	Server string
	Ticket uint64
}

func (Abort) effect() {}
