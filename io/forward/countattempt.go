package forward

import (
	"errors"

	"redwingsill/core/attemptresult"
	"redwingsill/core/responsesyntax"
)

// countAttempt counts an attempt by its result, and whether it failed because the server sent no valid response.
func (f *Forwarder) countAttempt(service string, result attemptresult.Status, err error) {
	f.metrics.CountAttempt(service, result)
	var invalid *responsesyntax.Error
	if errors.As(err, &invalid) {
		f.metrics.CountInvalidResponse(service)
	}
}
