package origin

import "time"

const (
	// dialTimeout bounds the time to open a connection. Data centres of a region are a few milliseconds apart; a lost
	// opening packet is sent again only after a second, so another server is tried before.
	dialTimeout = 350 * time.Millisecond
	// userTimeout is how long sent bytes may stay without acknowledgement, so that silent connections are noticed.
	userTimeout = 1200 * time.Millisecond
	// idleDefault is how long an idle connection is kept whose server names no time, and idleMargin how much sooner than
	// the server says it is given up, since a request could cross the server's close.
	idleDefault = 4 * time.Second
	idleMargin  = 1500 * time.Millisecond
	// shortBody is the length up to which a body is written before the answer is read: what socket buffers take.
	shortBody = 32 << 10
	// maxAnswer bounds the body of an answer, which is held as a whole.
	maxAnswer = 16 << 20
	// mostStrayAnswers bounds the answers to earlier requests that are passed over.
	mostStrayAnswers = 4
	// readBuffer holds an ordinary answer's head.
	readBuffer = 2 << 10
)
