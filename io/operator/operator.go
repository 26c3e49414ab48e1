// Package operator is the HTTP front end for operators.
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
	maxChange = 1 << 20 // bytes
	maxWatch  = 30 * time.Second
)

// Operator serves operators' requests.
type Operator struct {
	host  host
	store store
	token string
}

// New returns a front end for an entry host. Changes need the token; where it is empty they are refused.
func New(h host, s store, token string) *Operator {
	return &Operator{host: h, store: s, token: token}
}

// Handler returns the handler of all operators' paths. The page of metrics is given.
func (o *Operator) Handler(metrics http.Handler) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/configuration", o.configuration).Methods(http.MethodGet)
	r.HandleFunc("/v1/changes", o.submit).Methods(http.MethodPost)
	r.HandleFunc("/v1/changes/{id}", o.find).Methods(http.MethodGet)
	r.HandleFunc("/v1/watch", o.watch).Methods(http.MethodGet)
	r.HandleFunc("/v1/status", o.status).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain/keys/{service}/{key:.+}", o.explainKey).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain/servers/{server}", o.explainServer).Methods(http.MethodGet)
	r.HandleFunc("/v1/explain/requests/{id}", o.explainRequest).Methods(http.MethodGet)
	r.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/readyz", o.ready)
	r.Handle("/metrics", metrics)
	return r
}

func (o *Operator) ready(w http.ResponseWriter, _ *http.Request) {
	if !o.host.Snapshot().IsReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (o *Operator) configuration(w http.ResponseWriter, _ *http.Request) {
	writeConfiguration(w, o.host.Snapshot().Configuration)
}

// submit accepts a change, which means that the platform has it. The answers are 200 accepted, 400 wrong, 401 not
// allowed, 409 conflict, 503 not accepted, and 504 unknown, where the change's id tells later what became of it.
func (o *Operator) submit(w http.ResponseWriter, r *http.Request) {
	given := r.Header.Get("Authorization")
	if o.token == "" || subtle.ConstantTimeCompare([]byte(given), []byte("Bearer "+o.token)) != 1 {
		writeError(w, http.StatusUnauthorized, "Authorization", "a bearer token that allows changes is needed", nil)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChange))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "body", err.Error(), nil)
		return
	}
	var s submission.Submission
	if err := json.Unmarshal(text, &s); err != nil {
		writeError(w, http.StatusBadRequest, "body", err.Error(), nil)
		return
	}
	c, err := s.Change()
	if err != nil {
		writeFailure(w, err)
		return
	}
	next, err := o.apply(r.Context(), c, s.DryRun)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, http.StatusOK, next)
}

// apply writes the changed configuration to the platform.
func (o *Operator) apply(ctx context.Context, c change.Change, dryRun bool) (accepted, error) {
	value, revision, err := o.store.Read(ctx, string(platformkey.Configuration), -1)
	if err != nil {
		return accepted{}, newError("read configuration", kind.Unavailable, err)
	}
	current := configuration.Configuration{}
	if revision > 0 {
		if current, err = configuration.Parse(value); err != nil {
			return accepted{}, err
		}
	}
	if at, done := current.RevisionOfChange(c.ID); done {
		return accepted{ChangeID: c.ID, Revision: at}, nil
	}
	next, err := c.Apply(current, o.host.Now())
	if err != nil {
		return accepted{}, err
	}
	result := accepted{ChangeID: c.ID, Revision: next.Revision, Summary: current.Diff(next), DryRun: dryRun}
	if dryRun {
		return result, nil
	}
	text, err := json.Marshal(next)
	if err != nil {
		return accepted{}, newError("encode configuration", kind.Invalid, err)
	}
	if _, err := o.store.Write(ctx, string(platformkey.Configuration), text, revision, 0); err != nil {
		if failure := o.resolve(ctx, c, err); failure != nil {
			return accepted{}, failure
		}
	}
	return result, nil
}

// resolve finds out what became of a write whose answer was lost or that lost a race.
func (o *Operator) resolve(ctx context.Context, c change.Change, cause error) error {
	value, _, err := o.store.Read(ctx, string(platformkey.Configuration), -1)
	if err != nil {
		return newError("write configuration", kind.Unknown, cause)
	}
	current, err := configuration.Parse(value)
	if err != nil {
		return newError("write configuration", kind.Unknown, cause)
	}
	if _, done := current.RevisionOfChange(c.ID); done {
		return nil
	}
	_, err = c.Apply(current, o.host.Now())
	var conflict *change.Error
	if errors.As(err, &conflict) {
		return conflict
	}
	return newError("write configuration", kind.Unknown, cause)
}

// find tells what became of a change: 200 with its revision, or 404 where the platform does not have it.
func (o *Operator) find(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	value, _, err := o.store.Read(r.Context(), string(platformkey.Configuration), -1)
	if err != nil {
		writeFailure(w, newError("read configuration", kind.Unavailable, err))
		return
	}
	current, err := configuration.Parse(value)
	if err != nil {
		writeFailure(w, err)
		return
	}
	at, done := current.RevisionOfChange(id)
	if !done {
		writeError(w, http.StatusNotFound, "id", "the platform has no change "+id+"; it is not accepted", nil)
		return
	}
	writeJSON(w, http.StatusOK, accepted{ChangeID: id, Revision: at})
}

// watch answers with the configuration once its revision is higher than the one given, or with 204.
func (o *Operator) watch(w http.ResponseWriter, r *http.Request) {
	after, err := revisionOf(r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "after", err.Error(), nil)
		return
	}
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	deadline := time.NewTimer(maxWatch)
	defer deadline.Stop()
	for {
		if c := o.host.Snapshot().Configuration; c.Revision > after {
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
