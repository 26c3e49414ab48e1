package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"redwingsill/core/kind"
)

// readBody returns the whole request body, of at most limit bytes, or why it can't; a limit of 0 means defaultMaxBody. In
// either case the returned function must be called when the body is no longer needed.
//
// The body is read before a slot is asked for, so that a slow caller holds no slot of a backend server.
func (i *Ingress) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time, limit int64, now time.Time) ([]byte, func(), *refusal) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, func() {}, nil
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	control := http.NewResponseController(w)
	// The read deadline is compared with time.Now, which may differ from the clock of now and deadline.
	if err := control.SetReadDeadline(time.Now().Add(deadline.Sub(now))); err != nil {
		i.log.Debug("could not set the read deadline of a request body", "Error", err) // the length limit still applies
	}
	body, release, err := i.bodies.ReadAndHold(r.Body, r.ContentLength, limit)
	if resetErr := control.SetReadDeadline(time.Time{}); resetErr != nil {
		i.log.Debug("could not clear the read deadline of a request body", "Error", resetErr) // the connection is closed at the deadline
	}
	var failed net.Error
	switch {
	case kind.Is(err, kind.Full):
		return nil, release, &refusal{http.StatusServiceUnavailable, otherHostRetryAfter, "too many long bodies at the same time"}
	case kind.Is(err, kind.Invalid):
		return nil, release, &refusal{http.StatusRequestEntityTooLarge, otherHostRetryAfter, "the body is too long"}
	case errors.As(err, &failed) && failed.Timeout():
		return nil, release, &refusal{http.StatusRequestTimeout, otherHostRetryAfter, "the body did not come in time"}
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, release, &refusal{http.StatusBadRequest, otherHostRetryAfter, "the body ended early"}
	case err != nil:
		return nil, release, &refusal{http.StatusBadRequest, otherHostRetryAfter, "the body is broken: " + err.Error()}
	}
	return body, release, nil
}
