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

func writeError(w http.ResponseWriter, status int, field, text string, problems []problem.Problem) {
	writeJSON(w, status, struct {
		Field    string
		Error    string
		Problems []problem.Problem `json:",omitempty"`
	}{field, text, problems})
}

// writeFailure answers with the status that belongs to the kind of an error.
func writeFailure(w http.ResponseWriter, err error) {
	var wrong *configuration.Error
	var conflict *change.Error
	var failed *Error
	var unread *submission.Error
	switch {
	case errors.As(err, &wrong):
		writeError(w, http.StatusBadRequest, "Resources", err.Error(), wrong.Problems)
	case errors.As(err, &conflict):
		writeError(w, http.StatusConflict, "ExpectedRevision", err.Error(), nil)
	case errors.As(err, &unread):
		writeError(w, http.StatusBadRequest, "body", err.Error(), nil)
	case errors.As(err, &failed):
		writeError(w, statusOf(failed.Kind), "", err.Error(), nil)
	default:
		writeError(w, http.StatusInternalServerError, "", err.Error(), nil)
	}
}

func statusOf(k kind.Kind) int {
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

func writeConfiguration(w http.ResponseWriter, c configuration.Configuration) {
	text, err := configuration.FormatResources(c.Resources())
	if err != nil {
		writeFailure(w, err)
		return
	}
	var file struct{ Resources []json.RawMessage }
	if err := json.Unmarshal(text, &file); err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Revision  int64
		Changes   any
		Resources []json.RawMessage
	}{c.Revision, c.Changes, file.Resources})
}

func revisionOf(r *http.Request) (int64, error) {
	text := r.URL.Query().Get("after")
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}
