package caller

import (
	"encoding/json"
	"net/http"

	"redwingsill/core/problem"
)

// writeProblem refuses a request that is wrong in itself.
func writeProblem(w http.ResponseWriter, status int, p problem.Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, "NotRun")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
