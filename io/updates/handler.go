package updates

import (
	"compress/gzip"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"redwingsill/core/kind"
	"redwingsill/core/update"
)

// Handler returns a handler that serves the entries and changes of a source to other entry hosts.
func Handler(s Source, log *slog.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u, err := readUpdate(s, r)
		if err != nil {
			w.WriteHeader(statusOf(err))
			return
		}
		d := document{Revision: u.Revision, Age: u.Age, Records: make([]entry, len(u.Records))}
		size := 0
		for i, record := range u.Records {
			d.Records[i] = newEntry(record)
			size += len(record.Value)
		}
		w.Header().Set("Content-Type", "application/json")
		if size < minCompressedBytes {
			err = json.NewEncoder(w).Encode(d)
		} else {
			w.Header().Set("Content-Encoding", "gzip")
			compressed, _ := gzip.NewWriterLevel(w, gzip.BestSpeed) // the level is a valid one
			err = errors.Join(json.NewEncoder(compressed).Encode(d), compressed.Close())
		}
		if err != nil {
			log.Debug("store updates not sent", "To", r.RemoteAddr, "Error", err) // the requesting host retries, perhaps with another host
		}
	})
}

// readUpdate reads from the source what a request asks for: all entries, or changes after a revision.
func readUpdate(s Source, r *http.Request) (update.Update, error) {
	q := r.URL.Query()
	if q.Get(afterField) == "" {
		return s.Entries(r.Context(), q.Get(prefixField))
	}
	after, err := strconv.ParseInt(q.Get(afterField), 10, 64)
	if err != nil {
		return update.Update{}, newError("answer", kind.Invalid, err)
	}
	wait, err := time.ParseDuration(q.Get(waitField))
	if err != nil {
		return update.Update{}, newError("answer", kind.Invalid, err)
	}
	return s.Changes(r.Context(), q.Get(prefixField), after, min(wait, maxWait))
}

// statusOf returns the HTTP status for the kind of an error. NotFound, for a revision that the history no longer reaches
// back to, becomes 410 Gone.
func statusOf(err error) int {
	switch {
	case kind.Is(err, kind.NotFound):
		return http.StatusGone
	case kind.Is(err, kind.Invalid):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}
