package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// body reads the whole body, or returns a status and what is wrong.
func (i *Ingress) body(w http.ResponseWriter, r *http.Request, deadline time.Time, most int64, now time.Time) ([]byte, int, string) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0, ""
	}
	if most <= 0 {
		most = defaultBody
	}
	if r.ContentLength > most {
		return nil, http.StatusRequestEntityTooLarge, "the body is too long"
	}
	if i.bodies.Load()+max(r.ContentLength, 0) > mostBodies {
		return nil, http.StatusServiceUnavailable, "too many long bodies at the same time"
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(deadline.Sub(now))); err != nil {
		i.log.Debug("no deadline for a body", "Error", err) // the body is then bounded by its length alone
	}
	body, err := read(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
	i.bodies.Add(int64(cap(body)))
	if reset := control.SetReadDeadline(time.Time{}); reset != nil {
		i.log.Debug("deadline of a body kept", "Error", reset) // the connection ends at it, which callers see as a close
	}
	var tooLong *http.MaxBytesError
	var failed net.Error
	switch {
	case errors.As(err, &tooLong):
		return body, http.StatusRequestEntityTooLarge, "the body is too long"
	case errors.As(err, &failed) && failed.Timeout():
		return body, http.StatusRequestTimeout, "the body did not come in time"
	case err != nil:
		return body, http.StatusBadRequest, "the body is broken: " + err.Error()
	}
	return body, 0, ""
}

func read(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(from, body); err != nil {
		return body, err
	}
	// The read of the end lets net/http watch for the caller's close.
	if _, err := from.Read(make([]byte, 1)); err != nil && err != io.EOF {
		return body, err
	}
	return body, nil
}
