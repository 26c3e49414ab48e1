// Package attribute names the attributes that HTTP front ends and backend servers give requests and answers.
package attribute

import "strings"

// The attributes of a request beside its headers.
const (
	Method = "Method"
	Path   = "Path"
	// Trace is the trace context in the form of W3C's traceparent.
	Trace = "Traceparent"
)

const headerPrefix = "Header-"

// carried lists the headers that pass through, by their canonical names.
var carried = map[string]bool{
	"Content-Type": true, "Content-Language": true, "Content-Encoding": true, "Accept": true, "Accept-Language": true,
	"Authorization": true, "Etag": true, "If-Match": true, "If-None-Match": true, "Last-Modified": true,
	"Cache-Control": true, "Location": true, "Retry-After": true, "User-Agent": true,
}

// FromHeader returns the attribute of an HTTP header, and whether the header passes through.
func FromHeader(name string) (string, bool) {
	if !carried[name] && !strings.HasPrefix(name, "X-") {
		return "", false
	}
	return headerPrefix + name, true
}

// HeaderOf returns the HTTP header of an attribute, and whether it is one.
func HeaderOf(name string) (string, bool) {
	return strings.CutPrefix(name, headerPrefix)
}
