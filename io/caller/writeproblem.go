package caller

import (
	"encoding/json"
	"net/http"

	"redwingsill/core/problem"
)

// writeProblem responds with a problem as JSON and the outcome NotRun, to an invalid request or while the host is not
// ready.
func writeProblem(w http.ResponseWriter, status int, p problem.Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, "NotRun")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
