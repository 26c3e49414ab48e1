package follow

import "time"

// Watching hears of each change as it is made.
type Watching struct {
	// Wait bounds one watch. A watch may miss changes unnoticed as the store forgets its history; the next one shows it.
	Wait time.Duration
}

func (Watching) manner() {}
