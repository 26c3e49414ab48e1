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

// newServer starts the nth backend server of service s, which names itself only in its handler and echoes the attempt ID of each request.
func newServer(t *testing.T, n int, handle http.HandlerFunc) instance.Instance {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
		handle(w, r)
	}))
	t.Cleanup(server.Close)
	return instance.Instance{ID: fmt.Sprint("i-", n), Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "ilo", Slots: 2}
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
					var runs atomic.Int64
					servers := make([]instance.Instance, 2)
					for i := range servers {
						servers[i] = newServer(t, i, func(w http.ResponseWriter, _ *http.Request) {
							w.Header().Set(names.InstanceID, fmt.Sprint("i-", i))
							w.Header().Set(names.Seal, "seal")
							if runs.Add(1) == 1 {
								w.WriteHeader(c.status)
							}
						})
					}
					status, header, _ := send(t, http.MethodPost, newFrontEndOf(t, servers, roster.New(servers...), isSharded, isIdempotent, 9), "one")
					want, wantRuns := c.want, int64(1)
					if c.isFailure && isIdempotent {
						want, wantRuns = http.StatusOK, 2
					}
					if status != want || runs.Load() != wantRuns {
						t.Errorf("status %d after %d runs, want %d after %d", status, runs.Load(), want, wantRuns)
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
			servers = append(servers, newServer(t, i, func(w http.ResponseWriter, _ *http.Request) {
				counts[i].Add(1)
				w.WriteHeader(answer)
			}))
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
		servers := []instance.Instance{
			newServer(t, 0, func(w http.ResponseWriter, _ *http.Request) {
				misdirected.Add(1)
				w.Header().Set(names.NotRun, notRun)
				w.WriteHeader(http.StatusMisdirectedRequest)
			}),
			newServer(t, 1, func(http.ResponseWriter, *http.Request) { served.Add(1) }),
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
