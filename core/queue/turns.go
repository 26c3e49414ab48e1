package queue

// turns is a caller's place among the others of its rank.
type turns struct {
	waiting int
	// taken counts the requests that the caller has had a place for.
	taken int
}

// turn returns the turn of the newest request.
func (t turns) turn() int { return (t.taken - 1) / callerShare }
