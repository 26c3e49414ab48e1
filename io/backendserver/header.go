package backendserver

// HTTP headers exchanged with a backend server.
const (
	HeaderGrant     = "Redwingsill-Grant"      // term and generation of the grant, such as "65.3"
	HeaderDeadline  = "Redwingsill-Deadline"   // time by which the server must have stopped running the request, in RFC 3339 format
	HeaderRequestID = "Redwingsill-Request-Id" // ID of a request that must not run twice
	HeaderAttemptID = "Redwingsill-Attempt-Id" // unique for each attempt; a server that echoes it lets the client detect late responses to others
	HeaderRefused   = "Redwingsill-Refused"    // reason for refusing before running: Shed, Grant, Deadline, Draining or Connections
	HeaderKey       = "Redwingsill-Key"        // key of the request, escaped as a URL path segment
)
