package queue

// callerTurns counts the requests of one caller in one rank, which assigns them to turns.
type callerTurns struct {
	waiting int
	// assigned counts the request places assigned to the caller, including those of the turns before it joined.
	assigned int
}

// latestTurn returns the turn of the newest request.
func (t callerTurns) latestTurn() int { return (t.assigned - 1) / requestsPerTurn }
