package ingress

import (
	"io"
	"net/http"
	"strconv"

	"redwingsill/io/headers"
	"redwingsill/io/origin"
)

// writeResponse forwards a backend server's response to a caller's request with the given method.
func (i *Ingress) writeResponse(w http.ResponseWriter, method string, response *origin.Response) {
	h := w.Header()
	for name, values := range response.Header {
		if !headers.IsHopByHop(name, response.Header["Connection"]) && (name != "Content-Length" || method == http.MethodHead) {
			h[name] = values
		}
	}
	if response.Header["Content-Type"] == nil {
		h["Content-Type"] = nil // another server might add a detected type
	}
	if method != http.MethodHead && response.Status >= http.StatusOK && response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body) // fails only if the caller has disconnected; the server then closes the connection
}

// reject responds to a request that is not forwarded, and logs the reason.
func (i *Ingress) reject(w http.ResponseWriter, r *http.Request, with refusal) {
	if with.retryAfter > 0 && (with.status == http.StatusServiceUnavailable || with.status == http.StatusRequestTimeout) {
		w.Header().Set("Retry-After", strconv.FormatFloat(with.retryAfter.Seconds(), 'f', 3, 64))
	}
	i.log.Info("request refused", "ID", r.Header.Get(i.headers.AttemptID), "Status", with.status, "Reason", with.reason, "Host", r.Host,
		"Path", r.URL.Path, "Configuration", i.routing.Read().Version)
	writeText(w, with.status, with.reason)
}

// writeText responds with a line of plain text.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n") // fails only if the caller has disconnected
}
