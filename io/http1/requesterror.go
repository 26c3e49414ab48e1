package http1

// requestError is why a request can't be served. It is answered with the status, or not at all if that is 0.
type requestError struct {
	status int
	text   string
}
