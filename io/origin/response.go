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
	// keepAlive is the server's Keep-Alive timeout.
	keepAlive time.Duration
}
