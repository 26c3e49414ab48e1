// Package headers holds the names of the header fields that a front end speaks.
package headers

import (
	"net/http"
	"strings"
)

// Headers names the fields by what they hold. The names are in canonical form.
type Headers struct {
	// Attempt names one try of a caller.
	Attempt string
	// Deadline is how many milliseconds the sender goes on waiting.
	Deadline string
	// Seal is a backend server's mark on its answer.
	Seal string
	// Expect is the ID of the only backend server that may run the request.
	Expect string
	// Instance is the ID of the backend server that answers.
	Instance string
	// Load is a backend server's running and waiting requests and its slots, with commas.
	Load string
	// NotRun says in an answer that the request was not run.
	NotRun string
	// Key is the key of a divided service.
	Key string
	// Handover is the state that an owner of keys leaves for the next one.
	Handover string
}

// hop lists the fields that concern one connection.
var hop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// IsHop reports whether a field concerns only the connection that it came on, given that connection's own list.
func IsHop(name string, connection []string) bool {
	if hop[name] {
		return true
	}
	for _, line := range connection {
		for _, field := range strings.Split(line, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(field)) == name {
				return true
			}
		}
	}
	return false
}
