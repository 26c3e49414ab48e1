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
	// release ends the response's part of the budget for responses, or is nil.
	release func()
}

// Release frees the response's part of the memory for responses. It must be called once. It does nothing for a nil response.
func (r *Response) Release() {
	if r != nil && r.release != nil {
		r.release()
	}
}
