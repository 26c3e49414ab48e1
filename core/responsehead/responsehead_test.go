package responsehead_test

import (
	"fmt"
	"testing"

	"redwingsill/core/attemptresult"
	"redwingsill/core/responsehead"
)

func ExampleResponseHead() {
	timedOut := responsehead.ResponseHead{Status: 408, Server: "i-1"}
	fmt.Println(timedOut.Result("i-1"), timedOut.MayPass("i-1"))
	timedOut.IsNotRun = true
	fmt.Println(timedOut.Result("i-1"), timedOut.MayPass("i-1"))
	// Output:
	// Failed false
	// Refused false
}

// Guards against a status that reaches a caller as a promise by which it sends a request again that may have run.
func TestNoResponseThatPassesPromisesThatItsRequestHasNotRun(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for status := 100; status < 1000; status++ {
		for _, isNotRun := range []bool{false, true} {
			for _, server := range []string{"", "i-1", "i-2"} {
				h := responsehead.ResponseHead{Status: status, IsNotRun: isNotRun, Server: server}
				result := h.Result("i-1")
				if h.MayPass("i-1") && (promises[status] || isNotRun) {
					t.Errorf("%+v passes as %v", h, result)
				}
				if result == attemptresult.Answered && (promises[status] || status >= 500 || isNotRun) {
					t.Errorf("%+v counts as an answer without a failure", h)
				}
				if isNotRun && result == attemptresult.Failed {
					t.Errorf("%+v counts as a request that may have run", h)
				}
			}
		}
	}
}
