// Package origin is the HTTP/1.1 client with which entry hosts on the platform send requests to backend servers; other
// entry hosts use package backendserver. It classifies the result of each request, in particular whether the backend
// server may have run it.
package origin

import (
	"context"
	"errors"
	"net"
	"time"

	"redwingsill/core/announcement"
	"redwingsill/core/attemptresult"
	"redwingsill/core/instance"
	"redwingsill/core/kind"
	"redwingsill/core/responsehead"
	"redwingsill/io/bodybudget"
	"redwingsill/io/headers"
)

// Client sends requests to all backend servers. It is safe for concurrent use. Unlike net/http's client it never
// resends a request, recognises late responses to earlier requests by their attempt IDs, and needs no goroutine for an
// idle connection.
type Client struct {
	headers headers.Names
	now     func() time.Time
	conns   *pool
	// bodies bounds the memory of the responses that are being read or not yet released.
	bodies *bodybudget.BodyBudget
}

// New returns a client and a function that closes its idle connections. Deadlines are compared with now.
func New(names headers.Names, now func() time.Time) (*Client, func()) {
	return NewWithin(&bodybudget.BodyBudget{}, names, now)
}

// NewWithin returns a client as [New] does, which reads responses within a budget that it may share with others.
func NewWithin(bodies *bodybudget.BodyBudget, names headers.Names, now func() time.Time) (*Client, func()) {
	c := &Client{headers: names, now: now, conns: newPool(now), bodies: bodies}
	return c, c.conns.close
}

// Send sends a request to one incarnation of a backend server. It returns the response, if there is one, and the result
// of the attempt. At most limit connections to that server are open at a time. The error is nil exactly if there is a
// response, which must be released when it is no longer needed.
func (c *Client) Send(ctx context.Context, to instance.Instance, r Request, limit int) (*Response, attemptresult.AttemptResult, error) {
	began := c.now()
	var announced announcement.Announcement
	// The load, Running and Waiting, is -1 until a response reports it.
	newResult := func(status attemptresult.Status) attemptresult.AttemptResult {
		return attemptresult.AttemptResult{Incarnation: to.Incarnation(), Status: status, Duration: c.now().Sub(began), Running: -1, Waiting: -1,
			Announcement: announced}
	}
	connection, err := c.conns.get(ctx, to.Address, limit, r)
	if err != nil {
		var failed *Error
		if ctx.Err() != nil || errors.As(err, &failed) && failed.Kind == kind.Full {
			return nil, newResult(attemptresult.Unsent), err
		}
		return nil, newResult(attemptresult.Unreachable), err
	}
	if to.IsShutOff(c.now()) { // opening the connection may have taken until then
		connection.close()
		return nil, newResult(attemptresult.Unsent), newShutOffError(to)
	}
	remaining := r.Deadline.Sub(c.now())
	// Deadlines of connections are compared with time.Now, which may differ from c.now. This one is set before abort may
	// set another.
	if err := connection.SetDeadline(time.Now().Add(remaining)); err != nil {
		connection.reset()
		return nil, newResult(attemptresult.Failed), newError("set request deadline", kind.Unknown, err)
	}
	stop := context.AfterFunc(ctx, connection.abort)
	response, isWritten, err := c.exchange(connection, to, r, remaining)
	if !stop() {
		err = errors.Join(err, ctx.Err())
	}
	announced = c.announcementOf(connection.head, to, r)
	connection.head = nil
	if announced.IsLeaving {
		c.conns.closeIdle(to.Address)
	}
	if err != nil {
		response.Release()
		connection.reset()
		switch {
		case !isWritten && ctx.Err() == nil && !isTimeout(err): // the connection had ended before
			return nil, newResult(attemptresult.Unreachable), err
		case errors.Is(ctx.Err(), context.Canceled):
			return nil, newResult(attemptresult.Left), err
		case ctx.Err() != nil, isTimeout(err):
			return nil, newResult(attemptresult.TimedOut), err
		}
		return nil, newResult(attemptresult.Failed), err
	}
	head := c.headOf(response, to, r)
	response.MayPass = head.MayPass()
	status := head.Result()
	if status != attemptresult.Answered && r.AttemptID != "" {
		connection.recordFailure(r.AttemptID)
	}
	if connection.isReusableAfter(r, response) && !announced.IsLeaving {
		c.conns.put(connection, response.keepAlive)
	} else {
		connection.close()
	}
	result := newResult(status)
	result.Running, result.Waiting = parseLoad(response.Header.Get(c.headers.Load))
	return response, result, nil
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// headOf returns what decides in the head of the response to a request.
func (c *Client) headOf(response *Response, to instance.Instance, r Request) responsehead.ResponseHead {
	return responsehead.ResponseHead{Expected: to.ID, HasKey: r.HasKey, Status: response.Status,
		IsNotRun: response.Header.Get(c.headers.NotRun) != "", Server: response.Header.Get(c.headers.InstanceID)}
}

// errEndBeforeRequest is why a response without a length is not taken for whole.
var errEndBeforeRequest = errors.New("the connection ended before the request was written, so that the response may be cut")

// exchange writes a request with the remaining time to its deadline, and reads its response. A long body is written concurrently,
// since the server may respond before it has read the whole body. It also reports whether the server may have got the request:
// it has not if no byte could be written.
func (c *Client) exchange(connection *conn, to instance.Instance, r Request, remaining time.Duration) (response *Response, isWritten bool, err error) {
	head := c.encodeHead(to, r, remaining)
	connection.requests++
	sent := make(chan error, 1)
	if len(r.Body) <= maxInlineBody {
		n, err := connection.Write(append(head, r.Body...))
		if n == 0 && err != nil {
			return nil, false, newError("write request", kind.Unavailable, err)
		}
		sent <- err
	} else {
		go func() { // ends at the latest when the connection is reset below
			_, err := connection.Write(head)
			if err == nil {
				_, err = connection.Write(r.Body)
			}
			sent <- err
		}()
	}
	response, err = c.readResponse(connection, r)
	var writeErr error
	select {
	case writeErr = <-sent:
	default:
		connection.reset() // interrupts the write; the connection can't be reused after a partial request
		writeErr = <-sent
		if response != nil {
			response.closesConnection = true
		}
		if err != nil {
			err = errors.Join(err, writeErr)
		}
	}
	switch {
	case writeErr == nil || response == nil:
	case response.endsWithConnection:
		// The write may have got the error that tells a reset from an end, and the server need not have read the whole request.
		response.Release()
		return nil, true, newError("read response body", kind.Unknown, errors.Join(errEndBeforeRequest, writeErr))
	default:
		response.closesConnection = true // the server responded without reading the whole request
	}
	return response, true, err
}

// CloseExpired closes idle connections that must no longer be reused. It is to be called periodically.
func (c *Client) CloseExpired() { c.conns.closeExpired() }
