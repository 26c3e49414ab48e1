package ingress

import (
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// readBody returns the whole request body, of at most limit bytes; a limit of 0 means defaultMaxBody. If that fails, it
// returns a status above 0 and the reason. In either case it adds the capacity of the returned buffer to bodyBytes,
// from which the caller must subtract it.
func (i *Ingress) readBody(w http.ResponseWriter, r *http.Request, deadline time.Time, limit int64, now time.Time) ([]byte, int, string) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, 0, ""
	}
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge, "the body is too long"
	}
	if i.bodyBytes.Load()+max(r.ContentLength, 0) > maxTotalBodies {
		return nil, http.StatusServiceUnavailable, "too many long bodies at the same time"
	}
	control := http.NewResponseController(w)
	// The read deadline is compared with time.Now, which may differ from the clock of now and deadline.
	if err := control.SetReadDeadline(time.Now().Add(deadline.Sub(now))); err != nil {
		i.log.Debug("could not set the read deadline of a request body", "Error", err) // the length limit still applies
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	i.bodyBytes.Add(int64(cap(body)))
	if resetErr := control.SetReadDeadline(time.Time{}); resetErr != nil {
		i.log.Debug("could not clear the read deadline of a request body", "Error", resetErr) // the connection is closed at the deadline
	}
	var tooLarge *http.MaxBytesError
	var failed net.Error
	switch {
	case errors.As(err, &tooLarge):
		return body, http.StatusRequestEntityTooLarge, "the body is too long"
	case errors.As(err, &failed) && failed.Timeout():
		return body, http.StatusRequestTimeout, "the body did not come in time"
	case err != nil:
		return body, http.StatusBadRequest, "the body is broken: " + err.Error()
	}
	return body, 0, ""
}

// readAll reads a body of the given length, or of unknown length if it is negative.
func readAll(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(from, body); err != nil {
		return body, err
	}
	// net/http detects that a caller has disconnected only once the body has been read to EOF.
	if _, err := from.Read(make([]byte, 1)); err != nil && err != io.EOF {
		return body, err
	}
	return body, nil
}
