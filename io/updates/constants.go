package updates

import "time"

const (
	// Path is the path of requests for store updates.
	Path = "/news"

	// Fields of the query of a request. Without afterField it requests all entries.
	prefixField = "Prefix"
	afterField  = "After"
	waitField   = "Wait"
	// maxWait bounds how long a response is held back while there are no changes.
	maxWait = 5 * time.Second
	// dialTimeout and responseMargin bound the wait for a host that does not respond: changes must be in force within 2 s,
	// and other hosts have to be asked within that time.
	dialTimeout    = 300 * time.Millisecond
	responseMargin = 300 * time.Millisecond
	// listTimeout bounds a request for all entries, which may be some hundred kilobytes over a slow link.
	listTimeout = 2 * time.Second
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 32 << 20
	// minCompressedBytes is the size from which responses are compressed: a configuration shrinks to a tenth, and links
	// between hosts may be slow.
	minCompressedBytes = 8 << 10
	// idleConnections is the largest number of idle connections kept to each host: one for each watched prefix.
	idleConnections = 4
)
