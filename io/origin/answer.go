package origin

import (
	"net/http"
	"time"
)

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// isLast says that nothing more may be sent on the connection.
	isLast    bool
	keepAlive time.Duration
}
