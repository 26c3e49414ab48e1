package origin

import "time"

const (
	// dialTimeout bounds the time to open a connection. It is shorter than TCP's first SYN retransmission, which comes
	// after 1 s: data centres of a region are a few milliseconds apart, so it is faster to try another server.
	dialTimeout = 350 * time.Millisecond
	// tcpUserTimeout is how long sent data may stay unacknowledged before the kernel closes the connection. It detects
	// peers that have become unreachable.
	tcpUserTimeout = 1200 * time.Millisecond
	// defaultKeepAlive is the Keep-Alive timeout assumed of a server that sends none. An idle connection to it is kept for
	// 4 s.
	defaultKeepAlive = 4*time.Second + idleMargin
	// idleMargin is subtracted from the server's Keep-Alive timeout, so that no request is sent while the server closes
	// the connection.
	idleMargin = 1500 * time.Millisecond
	// maxInlineBody is the length in bytes up to which a request body is written before the response is read. Socket
	// buffers hold that much; longer bodies are written in a goroutine.
	maxInlineBody = 32 << 10
	// maxResponseHead bounds a response's status line and header fields in bytes, since they are buffered in full.
	maxResponseHead = 16 << 10
	// fieldMemory is about how many bytes a parsed header field takes besides its text.
	fieldMemory = 128
	// maxResponseBody bounds a response body in bytes, since it is buffered in full.
	maxResponseBody = 16 << 20
	// maxEncodedBody bounds a response body with its chunk sizes, chunk extensions and trailers in bytes. Only a body in
	// tiny chunks has as many bytes of framing as of content.
	maxEncodedBody = 2 * maxResponseBody
	// maxResponseReads bounds how many responses are read for one request, including skipped ones: interim responses and
	// responses to earlier requests.
	maxResponseReads = 4
	// maxFailedAttempts bounds the attempts that a connection remembers as not to be sent over it again. With more, the
	// connection is closed.
	maxFailedAttempts = 32
	// copyTimeout bounds the wait for the response after a late copy of another.
	copyTimeout = 300 * time.Millisecond
	// leavingValue is the value of the header field with which a server says that it leaves.
	leavingValue = "1"
	// maxPause bounds the time for which a server's Retry-After keeps requests away, against absurd values.
	maxPause = time.Hour
	// maxLoggedValue bounds the length in bytes of a header field's value that is passed on to be logged.
	maxLoggedValue = 64
	// headCapacity is the initial capacity in bytes of the buffer for a request's head, which grows for a longer head.
	headCapacity = 1024
	// readBufferSize is the size in bytes of a connection's read buffer, which fits the head of a typical response.
	readBufferSize = 2 << 10
)
