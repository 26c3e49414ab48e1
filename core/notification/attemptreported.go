package notification

import "redwingsill/core/attemptresult"

// AttemptReported reports the result of an attempt, which frees its slot.
type AttemptReported struct {
	Service string
	Result  attemptresult.AttemptResult
}

func (AttemptReported) notification() {}
