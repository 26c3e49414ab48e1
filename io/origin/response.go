package origin

import (
	"net/http"
	"time"
)

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// closesConnection is true if the connection must not be used for another request.
	closesConnection bool
	// keepAlive is the Keep-Alive timeout that the server sent, or 0.
	keepAlive time.Duration
}
