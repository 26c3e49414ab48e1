// Package origin sends requests to backend servers over HTTP/1.1 and tells for certain what did not run.
package origin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"redwingsill/core/attemptresult"
	"redwingsill/core/instance"
	"redwingsill/core/kind"
	"redwingsill/io/headers"
)

// Origin is a client of all backend servers. Its methods may be called at the same time. Unlike net/http's client it
// never sends anything twice, tells a late answer to an earlier request from the one that is due, and uses no goroutine
// for an idle connection.
type Origin struct {
	names headers.Headers
	now   func() time.Time
	conns *pool
}

// New returns a client and its clean-up. The function now is the clock by which deadlines count.
func New(names headers.Headers, now func() time.Time) (*Origin, func()) {
	o := &Origin{names: names, now: now, conns: newPool(now)}
	return o, o.conns.close
}

// Send sends a request to one life of a backend server and returns the whole answer, if there is one, and what became of
// the request. With limit the connections to that server are bounded. The error tells why there is no answer.
func (o *Origin) Send(ctx context.Context, to instance.Instance, r Request, limit int) (*Answer, attemptresult.AttemptResult, error) {
	began := o.now()
	tell := func(result attemptresult.Status) attemptresult.AttemptResult {
		return attemptresult.AttemptResult{Incarnation: to.Incarnation(), Status: result, Duration: o.now().Sub(began), Running: -1, Waiting: -1}
	}
	c, err := o.conns.get(ctx, to.Address, limit)
	if err != nil {
		var failed *Error
		if ctx.Err() != nil || errors.As(err, &failed) && failed.Kind == kind.Full {
			return nil, tell(attemptresult.Unsent), err
		}
		return nil, tell(attemptresult.Unreachable), err
	}
	stop := context.AfterFunc(ctx, c.abort)
	answer, err := o.exchange(c, to, r)
	if !stop() {
		err = errors.Join(err, ctx.Err())
	}
	switch {
	case err != nil || ctx.Err() != nil:
		c.reset()
	case answer.isLast || c.reader.Buffered() > 0:
		c.close()
	default:
		o.conns.put(c, answer.keepAlive)
	}
	if err != nil {
		switch {
		case errors.Is(ctx.Err(), context.Canceled):
			return nil, tell(attemptresult.Left), err
		case ctx.Err() != nil, isTimeout(err):
			return nil, tell(attemptresult.Silent), err
		}
		return nil, tell(attemptresult.Failed), err
	}
	result := o.resultOf(answer, to)
	told := tell(result)
	told.Running, told.Waiting = loadOf(answer.Header.Get(o.names.Load))
	return answer, told, nil
}

func isTimeout(err error) bool {
	var failed net.Error
	return errors.As(err, &failed) && failed.Timeout()
}

// resultOf tells what an answer means for the request.
func (o *Origin) resultOf(a *Answer, to instance.Instance) attemptresult.Status {
	isNotRun := a.Header.Get(o.names.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
	switch {
	case a.Status == http.StatusMisdirectedRequest && a.Header.Get(o.names.Instance) != "" && a.Header.Get(o.names.Instance) != to.ID:
		return attemptresult.Replaced
	case a.Status == http.StatusMisdirectedRequest:
		return attemptresult.NotOwner
	case isNotRun:
		return attemptresult.Refused
	case a.Status >= http.StatusInternalServerError || a.Status == http.StatusTooManyRequests:
		return attemptresult.Failed
	}
	return attemptresult.Answered
}

// exchange writes a request and reads its answer.
func (o *Origin) exchange(c *conn, to instance.Instance, r Request) (*Answer, error) {
	left := r.Deadline.Sub(o.now())
	if err := c.SetDeadline(time.Now().Add(left)); err != nil {
		return nil, newError("set the deadline of a request", kind.Unknown, err)
	}
	head := o.head(to, r, left)
	sent := make(chan error, 1)
	if len(r.Body) <= shortBody {
		_, err := c.Write(append(head, r.Body...))
		sent <- err
	} else {
		go func() { // ends with the write, which the reset of the connection ends at the latest
			_, err := c.Write(head)
			if err == nil {
				_, err = c.Write(r.Body)
			}
			sent <- err
		}()
	}
	answer, err := o.read(c, r)
	select {
	case failed := <-sent:
		if failed != nil && err == nil {
			answer.isLast = true // the answer came before the whole request was taken
		}
	default:
		c.reset() // ends the write; nothing else may follow on this connection
		failed := <-sent
		if answer != nil {
			answer.isLast = true
		}
		if err != nil {
			err = errors.Join(err, failed)
		}
	}
	return answer, err
}

// Sweep closes idle connections that are too old to be used again. It is called from time to time.
func (o *Origin) Sweep() { o.conns.sweep() }
