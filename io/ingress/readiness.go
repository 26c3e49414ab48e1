package ingress

import (
	"net/http"
)

// Readiness returns the handler that tells whether the host takes callers.
func Readiness(isReady func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			write(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		write(w, http.StatusOK, "ready")
	})
}
