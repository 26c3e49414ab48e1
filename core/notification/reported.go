package notification

import "redwingsill/core/attemptresult"

// Reported gives a slot back.
type Reported struct {
	Service string
	Report  attemptresult.AttemptResult
}

func (Reported) notice() {}
