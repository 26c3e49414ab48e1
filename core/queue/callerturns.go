package queue

// callerTurns counts the requests of one caller in one rank, which assigns them to turns.
type callerTurns struct {
	waiting int
	// assigned counts the caller's places in turns: those of its requests, and those of the turns that passed before it
	// joined.
	assigned int
}

// latestTurn returns the turn of the newest request.
func (t callerTurns) latestTurn() int { return (t.assigned - 1) / requestsPerTurn }
