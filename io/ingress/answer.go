package ingress

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"redwingsill/io/headers"
	"redwingsill/io/origin"
)

// pass hands a backend server's answer on.
func (i *Ingress) pass(w http.ResponseWriter, a *origin.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if !headers.IsHop(name, a.Header["Connection"]) && name != "Content-Length" {
			h[name] = values
		}
	}
	if a.Header["Content-Type"] == nil {
		h["Content-Type"] = nil
	}
	if a.Status >= http.StatusOK && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the caller has left if this fails, and net/http ends the connection
}

// refuse answers a request that goes to no backend server.
func (i *Ingress) refuse(w http.ResponseWriter, r *http.Request, status int, retryAfter time.Duration, reason string) {
	if retryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout) {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	i.log.Info("request refused", "ID", r.Header.Get(i.names.Attempt), "Status", status, "Reason", reason, "Host", r.Host,
		"Path", r.URL.Path, "Configuration", i.routing.Read().Version)
	write(w, status, reason)
}

func write(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n") // the caller has left if this fails
}
