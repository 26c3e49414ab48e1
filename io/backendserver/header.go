package backendserver

// The headers between redwingsill and a backend server.
const (
	HeaderGrant     = "Redwingsill-Grant"      // term and generation, as "65.3"
	HeaderDeadline  = "Redwingsill-Deadline"   // the time by which the server must have stopped, in RFC 3339
	HeaderRequestID = "Redwingsill-Request-Id" // the id of work that must not repeat
	HeaderRefused   = "Redwingsill-Refused"    // in a refusal before running: Shed, Grant, Deadline, Draining or Connections
	HeaderKey       = "Redwingsill-Key"        // the key of the request, escaped as in a URL
)
