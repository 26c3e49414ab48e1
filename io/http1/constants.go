package http1

import "time"

const (
	// readBufferSize is the size in bytes of a connection's read buffer. A caller that disconnects is noticed at once
	// while fewer bytes than that wait to be read.
	readBufferSize = 4 << 10
	// maxPipelined bounds the requests of one connection that are read before the first of them is answered.
	maxPipelined = 16
	// maxReadAhead bounds the requests of all connections that were read while earlier ones of their connection were not
	// answered.
	maxReadAhead = 2048
	// maxHeldBytes is the length in bytes of the responses that wait for those to earlier requests above which no further
	// requests are read ahead.
	maxHeldBytes = 8 << 20
	// headSlack is added to the limit of a request's head, in bytes, as net/http does. A part of the head may be in the
	// buffer before its limit applies.
	headSlack = readBufferSize
	// defaultHeaderBytes is the limit of a request's head if the limits set none.
	defaultHeaderBytes = 1 << 20
	// lingerTimeout is how long a connection is read after its last response. Closing it with unread bytes would reset
	// it, and the caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// acceptPause is the pause after an error in Accept, which is mostly a lack of file descriptors.
	acceptPause = 20 * time.Millisecond
	// shutdownPollInterval is the time between checks for connections that have become idle.
	shutdownPollInterval = 20 * time.Millisecond
	// maxSingleWrite is the size in bytes of a response up to which its head and body are written together.
	maxSingleWrite = 64 << 10
	// maxDiscardedBody is the length in bytes up to which the rest of a body is read after a response that refuses it. It comes
	// with the head, and the connection then ends without a reset.
	maxDiscardedBody = readBufferSize
	// maxRefusalBody is the length in bytes of the longest response after which a refused body is left unread. It fits into the
	// socket's buffer, so that sending it does not wait for the caller.
	maxRefusalBody = 2 << 10
	// maxAwaitedCloses bounds the connections with unread bodies that wait for their callers. Each holds some 64 KB in the
	// socket's buffer for up to lingerTimeout. Beyond it they are closed at once, and their callers may lose the response.
	maxAwaitedCloses = 64
)
