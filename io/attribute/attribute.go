// Package attribute maps HTTP header fields to the attributes of requests and responses, which don't depend on a
// protocol.
package attribute

import "strings"

// Request attributes that do not stand for a forwarded header field.
const (
	Method = "Method"
	// Path is the path that the backend server gets, with the query.
	Path = "Path"
	// Traceparent is the W3C trace context.
	Traceparent = "Traceparent"
)

const headerPrefix = "Header-"

// forwardedHeaders holds the canonical names of the header fields that are forwarded, besides those that begin with X-.
var forwardedHeaders = map[string]bool{
	"Content-Type": true, "Content-Language": true, "Content-Encoding": true, "Accept": true, "Accept-Language": true,
	"Authorization": true, "Etag": true, "If-Match": true, "If-None-Match": true, "Last-Modified": true,
	"Cache-Control": true, "Location": true, "Retry-After": true, "User-Agent": true,
}

// FromHeader returns the attribute for the canonical name of an HTTP header field, and whether the field is forwarded.
func FromHeader(name string) (string, bool) {
	if !forwardedHeaders[name] && !strings.HasPrefix(name, "X-") {
		return "", false
	}
	return headerPrefix + name, true
}

// ToHeader returns the HTTP header field for an attribute, and whether the attribute stands for one.
func ToHeader(name string) (string, bool) {
	return strings.CutPrefix(name, headerPrefix)
}
