package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"redwingsill/core/change"
	"redwingsill/core/configuration"
	"redwingsill/core/kind"
	"redwingsill/core/problem"
	"redwingsill/io/submission"
)

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// writeErrorBody writes an error response. The value of field names the part of the request that is at fault: a JSON
// field, a path or query parameter, a header or "body". It is empty if there is none. The problems are those of a
// rejected configuration.
func writeErrorBody(w http.ResponseWriter, status int, field, text string, problems []problem.Problem) {
	writeJSON(w, status, struct {
		Field    string
		Error    string
		Problems []problem.Problem `json:",omitempty"`
	}{field, text, problems})
}

// writeError writes an error with the HTTP status for its type and kind.
func writeError(w http.ResponseWriter, err error) {
	var invalid *configuration.Error
	var conflict *change.Error
	var failed *Error
	var malformed *submission.Error
	switch {
	case errors.As(err, &invalid):
		writeErrorBody(w, http.StatusBadRequest, "Resources", err.Error(), invalid.Problems)
	case errors.As(err, &conflict):
		writeErrorBody(w, http.StatusConflict, "ExpectedRevision", err.Error(), nil)
	case errors.As(err, &malformed):
		writeErrorBody(w, http.StatusBadRequest, "body", err.Error(), nil)
	case errors.As(err, &failed):
		writeErrorBody(w, httpStatus(failed.Kind), "", err.Error(), nil)
	default:
		writeErrorBody(w, http.StatusInternalServerError, "", err.Error(), nil)
	}
}

// httpStatus returns the HTTP status for the kind of an [*Error], which is Invalid, Unavailable or Unknown.
func httpStatus(k kind.Kind) int {
	switch k {
	case kind.Invalid:
		return http.StatusBadRequest
	case kind.Unavailable:
		return http.StatusServiceUnavailable
	case kind.Unknown:
		return http.StatusGatewayTimeout
	case kind.NotFound, kind.Conflict, kind.Denied, kind.Full:
	}
	return http.StatusInternalServerError
}

// writeConfiguration writes the revision of a configuration, its most recent changes, and its resources in the format
// of a configuration file.
func writeConfiguration(w http.ResponseWriter, c configuration.Configuration) {
	text, err := configuration.FormatResources(c.Resources())
	if err != nil {
		writeError(w, err)
		return
	}
	var file struct{ Resources []json.RawMessage }
	if err := json.Unmarshal(text, &file); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Revision  int64
		Changes   any
		Resources []json.RawMessage
	}{c.Revision, c.Changes, file.Resources})
}

// parseAfter returns the revision in the query parameter "after", or 0 if the parameter is absent or empty.
func parseAfter(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}
