package ingress

import "net/http"

// Readiness returns a handler for readiness probes. It responds with 200 if isReady returns true and with 503
// otherwise.
func Readiness(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			writeText(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		writeText(w, http.StatusOK, "ready")
	})
}
