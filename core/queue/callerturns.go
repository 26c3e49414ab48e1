package queue

// callerTurns assigns the requests of one caller in one rank to turns.
type callerTurns struct {
	// waiting is the number of the caller's waiting requests.
	waiting int
	// assigned counts the places in turns, from turn 0 on, that the caller can't use any more: they were assigned to its
	// requests, or their turns passed while it had none.
	assigned int
}

// latestTurn returns the turn of the caller's newest request.
func (t callerTurns) latestTurn() int { return (t.assigned - 1) / requestsPerTurn }
