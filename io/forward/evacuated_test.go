package forward_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/roster"
)

// newCountingServer returns the address of a backend server that answers all requests, and the count of its requests.
func newCountingServer(t *testing.T) (string, *atomic.Int64) {
	var count atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		w.Header().Set(names.AttemptID, r.Header.Get(names.AttemptID))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), &count
}

// Guards against a slot server that doesn't know of an evacuation yet, and gives out one evacuated server after the other until the
// rounds of a request are used up.
func TestOnlyOneSlotOfAnEvacuatedDataCentreIsTried(t *testing.T) {
	evacuated, wrong := newCountingServer(t)
	other, right := newCountingServer(t)
	servers := []instance.Instance{{ID: "other", Service: "s", Address: other, DataCentre: "mar", Slots: 2}}
	known := roster.New(servers...)
	for i := range 20 {
		s := instance.Instance{ID: fmt.Sprint("evacuated-", i), Service: "s", Address: evacuated, DataCentre: "ilo", Slots: 2}
		servers, known = append(servers, s), known.With(s.WithEvacuation(time.Now().Add(time.Minute)))
	}
	status, _, _ := send(t, http.MethodPost, newFrontEndOf(t, servers, known, false, false, 1), "one")
	if status != http.StatusOK || wrong.Load() != 0 || right.Load() != 1 {
		t.Errorf("status %d after %d requests to evacuated servers and %d to the other", status, wrong.Load(), right.Load())
	}
}

// Guards against requests for a key that reach its evacuated owner after the deadline, also if the slot server's roster is older.
func TestKeysOfAnEvacuatedOwnerAreServedUntilTheDeadline(t *testing.T) {
	for _, c := range []struct {
		left   time.Duration
		status int
		count  int64
	}{{time.Minute, http.StatusOK, 1}, {-time.Millisecond, http.StatusServiceUnavailable, 0}} {
		address, count := newCountingServer(t)
		s := instance.Instance{ID: "owner", Service: "s", Address: address, DataCentre: "ilo", Slots: 2}
		known := roster.New(s.WithEvacuation(time.Now().Add(c.left)))
		status, header, _ := send(t, http.MethodPost, newFrontEndOf(t, []instance.Instance{s}, known, true, false, 1), "one")
		if status != c.status || count.Load() != c.count || status != http.StatusOK && header.Get("Retry-After") == "" {
			t.Errorf("%v before the deadline: status %d, Retry-After %q, %d requests", c.left, status, header.Get("Retry-After"), count.Load())
		}
	}
}
