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
	// MayPass is set if the caller may get the response. Others are to be replaced, such as a refusal by the backend server.
	MayPass bool
	// Connection is the ID of the connection, which is unique to the client, or 0 if a late copy of an earlier response came before
	// this one. Ordinal is the number of requests that the connection has carried, this one included.
	Connection int64
	Ordinal    int64
	// closesConnection is true if the connection must not be used for another request.
	closesConnection bool
	// endsWithConnection is true if nothing but the end of the connection shows the end of the body.
	endsWithConnection bool
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
