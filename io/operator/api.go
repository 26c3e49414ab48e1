// Package operator is the HTTP API for operators: configuration changes, status, explanations, health and metrics.
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"redwingsill/core/change"
	"redwingsill/core/configuration"
	"redwingsill/core/kind"
	"redwingsill/core/platformkey"
	"redwingsill/io/submission"
)

const (
	// maxChangeBytes is the maximum size of the body of a submitted change.
	maxChangeBytes = 1 << 20
	// maxWatchDuration is the time after which a watch without a new revision ends with 204.
	maxWatchDuration = 30 * time.Second
	// watchPollInterval is the interval at which a watch checks the revision of the host's configuration.
	watchPollInterval = 100 * time.Millisecond
)

// API serves the HTTP endpoints for operators.
type API struct {
	host  host
	store store
	token string
}

// New returns the API of an entry host. Changes require the bearer token; if it is empty, all changes are refused.
func New(h host, s store, token string) *API {
	return &API{host: h, store: s, token: token}
}

// Handler returns the handler for all paths of the API. The given handler serves /metrics.
func (a *API) Handler(metrics http.Handler) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/configuration", a.getConfiguration).Methods(http.MethodGet)
	r.HandleFunc("/v1/changes", a.submitChange).Methods(http.MethodPost)
	r.HandleFunc("/v1/changes/{id}", a.findChange).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", a.watchConfiguration).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", a.getStatus).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain/keys/{service}/{key:.+}", a.explainKey).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain/servers/{server}", a.explainServer).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain/requests/{id}", a.explainRequest).Methods(http.MethodGet)
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", a.readyz)
	r.Handle("/metrics", metrics)
	return r
}

func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if !a.host.Snapshot().IsReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (a *API) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	writeConfiguration(w, a.host.Snapshot().Configuration)
}

// submitChange applies a change and responds once the platform has stored the new configuration. In a dry run nothing
// is stored. The status is 200 if the change is accepted, 400 if it is invalid, 401 without a valid token, 409 on a
// revision conflict, 413 if the body can't be read or exceeds maxChangeBytes, 503 if the platform could not be read, so
// that nothing was written, and 504 if the result is unknown; GET /v1/changes/{id} then says whether the change was
// stored.
func (a *API) submitChange(w http.ResponseWriter, r *http.Request) {
	authorization := r.Header.Get("Authorization")
	if a.token == "" || subtle.ConstantTimeCompare([]byte(authorization), []byte("Bearer "+a.token)) != 1 {
		writeErrorBody(w, http.StatusUnauthorized, "Authorization", "a bearer token that allows changes is needed", nil)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	if err != nil {
		writeErrorBody(w, http.StatusRequestEntityTooLarge, "body", err.Error(), nil)
		return
	}
	var s submission.Submission
	if err := json.Unmarshal(text, &s); err != nil {
		writeErrorBody(w, http.StatusBadRequest, "body", err.Error(), nil)
		return
	}
	c, err := s.Change()
	if err != nil {
		writeError(w, err)
		return
	}
	response, err := a.applyChange(r.Context(), c, s.DryRun)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

// applyChange writes the changed configuration to the platform. If the stored configuration already contains a change
// with the same ID, it writes nothing and returns the revision of that change. In a dry run it writes nothing either.
func (a *API) applyChange(ctx context.Context, c change.Change, dryRun bool) (changeResponse, error) {
	value, revision, err := a.store.Read(ctx, string(platformkey.Configuration), -1)
	if err != nil {
		return changeResponse{}, newError("read configuration", kind.Unavailable, err)
	}
	current := configuration.Configuration{}
	if revision > 0 {
		if current, err = configuration.Parse(value); err != nil {
			return changeResponse{}, err
		}
	}
	if acceptedRevision, isStored := current.RevisionOfChange(c.ID); isStored {
		return changeResponse{ChangeID: c.ID, Revision: acceptedRevision}, nil
	}
	next, err := c.Apply(current, a.host.Now())
	if err != nil {
		return changeResponse{}, err
	}
	result := changeResponse{ChangeID: c.ID, Revision: next.Revision, Summary: current.Diff(next), DryRun: dryRun}
	if dryRun {
		return result, nil
	}
	text, err := json.Marshal(next)
	if err != nil {
		return changeResponse{}, newError("encode configuration", kind.Invalid, err)
	}
	if _, err := a.store.Write(ctx, string(platformkey.Configuration), text, revision, 0); err != nil {
		if failure := a.resolveWrite(ctx, c, err); failure != nil {
			return changeResponse{}, failure
		}
	}
	return result, nil
}

// resolveWrite reads the configuration again after a write failed with the error cause. It returns nil if the change
// was stored although the write reported an error, a conflict if another change was stored first, and otherwise an
// error of kind Unknown.
func (a *API) resolveWrite(ctx context.Context, c change.Change, cause error) error {
	value, _, err := a.store.Read(ctx, string(platformkey.Configuration), -1)
	if err != nil {
		return newError("write configuration", kind.Unknown, cause)
	}
	current, err := configuration.Parse(value)
	if err != nil {
		return newError("write configuration", kind.Unknown, cause)
	}
	if _, isStored := current.RevisionOfChange(c.ID); isStored {
		return nil
	}
	_, err = c.Apply(current, a.host.Now())
	var conflict *change.Error
	if errors.As(err, &conflict) {
		return conflict
	}
	return newError("write configuration", kind.Unknown, cause)
}

// findChange responds with 200 and the revision of a stored change, with 404 if the stored configuration does not list
// the change, or with 503 if the platform could not be read.
func (a *API) findChange(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	value, _, err := a.store.Read(r.Context(), string(platformkey.Configuration), -1)
	if err != nil {
		writeError(w, newError("read configuration", kind.Unavailable, err))
		return
	}
	current, err := configuration.Parse(value)
	if err != nil {
		writeError(w, err)
		return
	}
	acceptedRevision, isStored := current.RevisionOfChange(id)
	if !isStored {
		writeErrorBody(w, http.StatusNotFound, "id", "the platform has no change "+id+"; it is not accepted", nil)
		return
	}
	writeJSON(w, http.StatusOK, changeResponse{ChangeID: id, Revision: acceptedRevision})
}

// watchConfiguration responds with the configuration once its revision is higher than the query parameter after, or
// with 204 after maxWatchDuration.
func (a *API) watchConfiguration(w http.ResponseWriter, r *http.Request) {
	after, err := parseAfter(r)
	if err != nil {
		writeErrorBody(w, http.StatusBadRequest, "after", err.Error(), nil)
		return
	}
	ticker := time.NewTicker(watchPollInterval)
	defer ticker.Stop()
	deadline := time.NewTimer(maxWatchDuration)
	defer deadline.Stop()
	for {
		if c := a.host.Snapshot().Configuration; c.Revision > after {
			writeConfiguration(w, c)
			return
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}
