package forward_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"redwingsill/core/instance"
	"redwingsill/core/roster"
)

// newFailOnceServers starts two backend servers that run all requests. The first response of either has the given status and the fields
// of its server, the others are successes. The returned function returns how many requests have run.
func newFailOnceServers(t *testing.T, status int, fieldsOf func(id string) http.Header) ([]instance.Instance, func() int64) {
	var runs atomic.Int64
	servers := make([]instance.Instance, 2)
	for i := range servers {
		id := fmt.Sprint("i-", i)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
			w.Header().Set(names.Seal, "seal")
			if runs.Add(1) == 1 {
				for name, values := range fieldsOf(id) {
					w.Header()[name] = values
				}
				w.WriteHeader(status)
			}
		}))
		t.Cleanup(server.Close)
		servers[i] = instance.Instance{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "ilo", Slots: 2}
	}
	return servers, runs.Load
}

// Guards against a promise that a request has not run, which a caller takes for leave to send it again, from a server that has run it.
func TestStatusOfAServerThatHasRunARequestPromisesNothing(t *testing.T) {
	for _, c := range []struct {
		status int
		// want is the status for callers whose request isn't sent again, and isFailure is set if an idempotent one is.
		want      int
		isFailure bool
	}{
		{http.StatusBadRequest, http.StatusBadRequest, false},
		{http.StatusUnauthorized, http.StatusUnauthorized, false},
		{http.StatusNotFound, http.StatusNotFound, false},
		{http.StatusRequestTimeout, http.StatusBadGateway, true},
		{http.StatusConflict, http.StatusConflict, false},
		{http.StatusMisdirectedRequest, http.StatusBadGateway, true},
		{http.StatusTooEarly, http.StatusTooEarly, false},
		{http.StatusTooManyRequests, http.StatusBadGateway, true},
		{http.StatusInternalServerError, http.StatusInternalServerError, true},
		{http.StatusServiceUnavailable, http.StatusBadGateway, true},
		{http.StatusGatewayTimeout, http.StatusGatewayTimeout, true},
	} {
		for _, isSharded := range []bool{false, true} {
			for _, isIdempotent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d, sharded %v, idempotent %v", c.status, isSharded, isIdempotent), func(t *testing.T) {
					t.Parallel()
					servers, runs := newFailOnceServers(t, c.status, func(id string) http.Header { return http.Header{names.InstanceID: {id}} })
					status, header, _ := send(t, http.MethodPost, newFrontEndOf(t, servers, roster.New(servers...), isSharded, isIdempotent, 9), "one")
					want, wantRuns := c.want, int64(1)
					if c.isFailure && isIdempotent {
						want, wantRuns = http.StatusOK, 2
					}
					if status != want || runs() != wantRuns {
						t.Errorf("status %d after %d runs, want %d after %d", status, runs(), want, wantRuns)
					}
					if isSealed := header.Get(names.Seal) != ""; isSealed != (status != http.StatusBadGateway) {
						t.Errorf("status %d with a seal: %v", status, isSealed)
					}
				})
			}
		}
	}
}

// Guards against a server that goes on getting its part of the requests, as its failures count as answers.
func TestServerThatAnswersWithAPromiseAfterItHasRunARequestGetsFewerRequests(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		var servers []instance.Instance
		var counts [2]atomic.Int64
		for i, answer := range []int{status, http.StatusOK} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				counts[i].Add(1)
				w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
				w.WriteHeader(answer)
			}))
			t.Cleanup(server.Close)
			servers = append(servers, instance.Instance{ID: fmt.Sprint("i-", i), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "ilo", Slots: 2})
		}
		url := newFrontEndOf(t, servers, roster.New(servers...), false, false, 9)
		for i := range 100 {
			send(t, http.MethodPost, url, fmt.Sprint("request-", i))
		}
		if failing, sound := counts[0].Load(), counts[1].Load(); failing >= sound {
			t.Errorf("%d requests to the server that fails with %d, %d to the sound one", failing, status, sound)
		}
	}
}

// Guards against a server of another service at a reused address that goes on getting requests, since its 421 counts as that of a server
// without the key.
func TestServerAtAReusedAddressGetsFewerRequests(t *testing.T) {
	for _, notRun := range []string{"", "1"} {
		var misdirected, served atomic.Int64
		newServer := func(id string, handle http.HandlerFunc) instance.Instance {
			server := httptest.NewServer(handle)
			t.Cleanup(server.Close)
			return instance.Instance{ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "ilo", Slots: 2}
		}
		servers := []instance.Instance{
			newServer("i-0", func(w http.ResponseWriter, r *http.Request) {
				misdirected.Add(1)
				w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
				w.Header().Set(names.NotRun, notRun)
				w.WriteHeader(http.StatusMisdirectedRequest)
			}),
			newServer("i-1", func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
			}),
		}
		url := newFrontEndOf(t, servers, roster.New(servers...), false, false, 100)
		for i := range 20 {
			if status, _, _ := send(t, http.MethodPost, url, fmt.Sprint("request-", i)); status != http.StatusOK {
				t.Errorf("not run %q, request %d: status %d", notRun, i, status)
			}
		}
		if misdirected.Load() >= served.Load() {
			t.Errorf("not run %q: %d requests to the server at the reused address, %d to the other", notRun, misdirected.Load(), served.Load())
		}
	}
}
