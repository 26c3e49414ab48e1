package http1

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"golang.org/x/net/http/httpguts"
)

// exchange is a request and its response. It implements http.ResponseWriter for the handler, which alone uses it.
type exchange struct {
	connection *connection
	request    *http.Request
	// failure is why the request is not served, or nil.
	failure *requestError
	body    *body
	// isAhead is set if the request was read while an earlier one was not answered.
	isAhead bool
	// previous is closed after the response to the request before, and answered after the response to this one.
	previous <-chan struct{}
	answered chan struct{}

	header http.Header
	status int
	// unsent holds what was written before the response is complete.
	unsent []byte
	isSent bool
	// leavesBody is set before the response is sent if the rest of the body is not to be read. The connection's mutex guards it.
	leavesBody bool
}

// newExchange returns the exchange after previous, which is nil for the first one of a connection.
func newExchange(c *connection, r *http.Request, failure *requestError, previous *exchange) *exchange {
	e := &exchange{connection: c, request: r, failure: failure, answered: make(chan struct{}), header: http.Header{}}
	if previous != nil {
		e.previous = previous.answered
	}
	if r != nil && r.Body != http.NoBody {
		var onFirstRead func()
		if httpguts.HeaderValuesContainsToken(r.Header["Expect"], "100-continue") {
			onFirstRead = e.sendContinue
		}
		e.body = newBody(r.Body, onFirstRead, c.SetReadDeadline)
		r.Body = e.body
	}
	return e
}

// run calls the handler and sends the response. If there is none, it closes the connection.
func (e *exchange) run() {
	defer func() {
		problem := recover()
		if problem != nil && problem != http.ErrAbortHandler {
			e.connection.server.log.Error("handler panicked", "Problem", problem, "Stack", string(debug.Stack()))
		}
		if problem != nil || !e.isSent {
			e.connection.abort()
		}
		if e.isAhead {
			e.connection.server.readAhead.Add(-1)
		}
		e.body.end(false)
		close(e.answered)
	}()
	if e.failure != nil {
		e.header.Set("Content-Type", "text/plain; charset=utf-8")
		e.status, e.unsent = e.failure.status, []byte(e.failure.text+"\n")
	} else {
		e.connection.server.handler.ServeHTTP(e, e.request.WithContext(context.WithValue(e.connection.ctx, exchangeKey{}, e)))
	}
	e.flush()
}

// awaitTurn waits until all requests before this one are answered. It returns false if the connection ends before. The
// bytes of the response that waits meanwhile are counted.
func (e *exchange) awaitTurn(held int) bool {
	if e.previous == nil {
		return e.connection.ctx.Err() == nil
	}
	select {
	case <-e.previous:
	default:
		e.connection.server.heldBytes.Add(int64(held))
		defer e.connection.server.heldBytes.Add(-int64(held))
		select {
		case <-e.previous:
		case <-e.connection.ctx.Done():
		}
	}
	return e.connection.ctx.Err() == nil
}

// sendContinue asks for the body of a request that expects that.
func (e *exchange) sendContinue() {
	if e.awaitTurn(0) {
		_, _ = e.connection.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")) // if it fails, so does the next read
	}
}

// SetReadDeadline sets the deadline for reads of the request's body. See [http.ResponseController].
func (e *exchange) SetReadDeadline(t time.Time) error { return e.body.SetReadDeadline(t) }
