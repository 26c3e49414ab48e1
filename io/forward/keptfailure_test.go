package forward_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/roster"
	"redwingsill/io/bodybudget"
)

// Guards against a 502 in place of a backend server's own response, when the next attempt finds no server or fails without a response. A
// status of 0 ends the connection without a response.
func TestFailureOfABackendServerReachesTheCallerUnlessALaterAttemptSucceeds(t *testing.T) {
	for _, c := range []struct {
		statuses []int
		want     int
	}{
		{[]int{500}, 500},
		{[]int{500, 504}, 504},
		{[]int{500, 0}, 500},
		{[]int{500, 408}, 500},
		{[]int{0, 500}, 500},
		{[]int{408, 0}, 502},
		{[]int{500, 200}, 200},
	} {
		t.Run(fmt.Sprint(c.statuses), func(t *testing.T) {
			var runs atomic.Int64
			servers := make([]instance.Instance, len(c.statuses))
			for i := range servers {
				servers[i] = newServer(t, i, func(w http.ResponseWriter, _ *http.Request) {
					status := c.statuses[runs.Add(1)-1]
					if status == 0 {
						panic(http.ErrAbortHandler)
					}
					w.WriteHeader(status)
					_, _ = io.WriteString(w, strings.Repeat(fmt.Sprint(status), 1000))
				})
			}
			bodies := bodybudget.New(1<<20, 100)
			status, _, body := send(t, http.MethodGet, newFrontEndWithin(t, bodies, servers, roster.New(servers...), false, true, 9), "one")
			if status != c.want || status != http.StatusBadGateway && body != strings.Repeat(fmt.Sprint(c.want), 1000) {
				t.Errorf("status %d with %d bytes, want %d", status, len(body), c.want)
			}
			for until := time.Now().Add(time.Second); bodies.Reserved() != 0 && time.Now().Before(until); {
				time.Sleep(time.Millisecond) // the response is released after it has been written
			}
			if left := bodies.Reserved(); left != 0 {
				t.Errorf("%d bytes of responses are still counted", left)
			}
		})
	}
}
