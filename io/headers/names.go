// Package headers names the header fields that callers, entry hosts on the platform and backend servers exchange.
package headers

import (
	"net/http"
	"strings"
)

// Names holds the names of the header fields, in canonical form. The comments describe the values of the fields.
type Names struct {
	// AttemptID is the sender's ID of a request; retries by an entry host carry the same ID. Responses echo it.
	AttemptID string
	// Deadline is how long the sender still waits, in milliseconds.
	Deadline string
	// Seal is a token that a backend server adds to its response. Entry hosts pass it on unchanged.
	Seal string
	// ExpectInstance is the ID of the only backend server that may run the request.
	ExpectInstance string
	// InstanceID is the ID of the backend server that responds.
	InstanceID string
	// Load is a backend server's numbers of running requests, waiting requests and slots, separated by commas.
	Load string
	// NotRun is set in a response if the request was not run.
	NotRun string
	// Key is the numeric key of a request to a sharded service.
	Key string
	// Handover is the state for the next owner of a key range, in the old owner's response to the release of the range.
	Handover string
	// WarmUp gives the milliseconds for which a backend server stays cold. Any answer may have it.
	WarmUp string
	// Leaving is set in each answer of a backend server that is leaving.
	Leaving string
}

// hopByHop holds the hop-by-hop header fields (RFC 9110, section 7.6.1, and RFC 2616, section 13.5.1).
var hopByHop = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true}

// IsHopByHop reports whether the header field with a canonical name is not to be forwarded: it is hop-by-hop by
// definition, or listed in connection, the values of the message's Connection field.
func IsHopByHop(name string, connection []string) bool {
	if hopByHop[name] {
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
