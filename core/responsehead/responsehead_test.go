package responsehead_test

import (
	"fmt"
	"testing"

	"redwingsill/core/attemptresult"
	"redwingsill/core/responsehead"
)

func ExampleResponseHead() {
	timedOut := responsehead.ResponseHead{Expected: "i-1", Status: 408, Server: "i-1"}
	fmt.Println(timedOut.Result(), timedOut.MayPass())
	timedOut.IsNotRun = true
	fmt.Println(timedOut.Result(), timedOut.MayPass())
	// Output:
	// Failed false
	// Refused false
}

// Guards against a status that reaches a caller as a promise by which it sends a request again that may have run.
func TestNoResponseThatPassesPromisesThatItsRequestHasNotRun(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 100; status < 1000; status++ {
		for variant := range 12 {
			h := responsehead.ResponseHead{Expected: "i-1", HasKey: variant%2 == 0, Status: status, IsNotRun: variant/2%2 == 0, Server: []string{"", "i-1", "i-2"}[variant/4]}
			result := h.Result()
			if h.MayPass() && (promises[status] || h.IsNotRun) {
				t.Errorf("%+v passes as %v", h, result)
			}
			if result == attemptresult.Answered && (promises[status] || status >= 500 || h.IsNotRun) {
				t.Errorf("%+v counts as an answer without a failure", h)
			}
			if h.IsNotRun && result == attemptresult.Failed {
				t.Errorf("%+v counts as a request that may have run", h)
			}
		}
	}
}

// Guards against an owner that is not asked again after a move of its key, against another server that is, and against a second run.
func TestMisdirectedRequestIsSentAgainOnlyToAServerWithoutTheKey(t *testing.T) {
	for _, c := range []struct {
		server           string
		hasKey, isNotRun bool
		want             attemptresult.Status
	}{
		{"i-1", true, true, attemptresult.NotOwner},
		{"i-1", true, false, attemptresult.Failed},
		{"i-1", false, true, attemptresult.NotOwner},
		{"i-1", false, false, attemptresult.Failed},
		{"i-2", true, true, attemptresult.Replaced},
		{"i-2", false, false, attemptresult.Replaced},
		{"", true, true, attemptresult.NotOwner},
		{"", true, false, attemptresult.Replaced},
		{"", false, true, attemptresult.Replaced},
		{"", false, false, attemptresult.Replaced},
	} {
		h := responsehead.ResponseHead{Expected: "i-1", HasKey: c.hasKey, Status: 421, IsNotRun: c.isNotRun, Server: c.server}
		if got := h.Result(); got != c.want {
			t.Errorf("%+v: %v, want %v", h, got, c.want)
		}
	}
}
