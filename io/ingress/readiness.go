package ingress

import "net/http"

// Readiness returns a handler for readiness probes. It responds with 200 if isReady returns true and with 503
// otherwise. The text of the response says so too if isNewestUsable returns false: the host then serves by an older
// configuration than the newest.
func Readiness(isReady, isNewestUsable func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		note := ""
		if !isNewestUsable() {
			note = "; the newest configuration is invalid"
		}
		if !isReady() {
			writeText(w, http.StatusServiceUnavailable, "not ready"+note)
			return
		}
		writeText(w, http.StatusOK, "ready"+note)
	})
}
