package updates

import "time"

const (
	// Path is the path of requests for store updates.
	Path = "/news"

	// Fields of the query of a request. A request without afterField asks for all entries.
	prefixField = "Prefix"
	afterField  = "After"
	waitField   = "Wait"
	// maxWait bounds how long a response is held back while there are no changes.
	maxWait = 5 * time.Second
	// dialTimeout bounds the time to connect to a host, and responseMargin the time from the end of the wait of a request
	// to its response. Changes must be in force within 2 s, including the time to ask other hosts if this one does not
	// respond. responseMargin is also the TCP user timeout of the connections.
	dialTimeout    = 300 * time.Millisecond
	responseMargin = 300 * time.Millisecond
	// listTimeout bounds a request for all entries, which may be some hundred kilobytes over a slow link.
	listTimeout = 2 * time.Second
	// maxResponseBytes bounds the size of a response.
	maxResponseBytes = 32 << 20
	// minCompressedBytes is the total size of the values from which a response is compressed: a configuration shrinks to a
	// tenth, and links between hosts may be slow.
	minCompressedBytes = 8 << 10
	// maxIdleConnections is the largest number of idle connections kept to each host: one for each watched prefix.
	maxIdleConnections = 4
)
