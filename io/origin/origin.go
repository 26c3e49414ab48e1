// Package origin sends requests to backend servers over HTTP/1.1 and tells for certain what did not run.
package origin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/kind"
	"redwingsill/core/report"
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
func (o *Origin) Send(ctx context.Context, to instance.Instance, r Request, limit int) (*Answer, report.Report, error) {
	began := o.now()
	tell := func(result report.Result) report.Report {
		return report.Report{Life: to.Life(), Result: result, Took: o.now().Sub(began), Running: -1, Waiting: -1}
	}
	c, err := o.conns.get(ctx, to.Address, limit)
	if err != nil {
		var failed *Error
		if ctx.Err() != nil || errors.As(err, &failed) && failed.Kind == kind.Full {
			return nil, tell(report.Unsent), err
		}
		return nil, tell(report.Unreachable), err
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
			return nil, tell(report.Left), err
		case ctx.Err() != nil, isTimeout(err):
			return nil, tell(report.Silent), err
		}
		return nil, tell(report.Failed), err
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
func (o *Origin) resultOf(a *Answer, to instance.Instance) report.Result {
	isNotRun := a.Header.Get(o.names.NotRun) != "" || a.Status == http.StatusMisdirectedRequest
	switch {
	case a.Status == http.StatusMisdirectedRequest && a.Header.Get(o.names.Instance) != "" && a.Header.Get(o.names.Instance) != to.ID:
		return report.Replaced
	case a.Status == http.StatusMisdirectedRequest:
		return report.NotOwner
	case isNotRun:
		return report.Refused
	case a.Status >= http.StatusInternalServerError || a.Status == http.StatusTooManyRequests:
		return report.Failed
	}
	return report.Answered
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
		go func() {
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
		<-sent
		if answer != nil {
			answer.isLast = true
		}
	}
	return answer, err
}

func (o *Origin) head(to instance.Instance, r Request, left time.Duration) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 1024+len(r.Body)))
	line := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\n")
	line("Host", r.Host)
	for name, values := range r.Header {
		switch name {
		case o.names.Expect, o.names.Deadline, "Content-Length", "Host", "Expect":
			continue
		}
		if headers.IsHop(name, r.Header["Connection"]) {
			continue
		}
		for _, value := range values {
			line(name, value)
		}
	}
	line(o.names.Expect, to.ID)
	line(o.names.Deadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		line("Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// read reads the answer to a request. An answer to an earlier one may come first and is passed over.
func (o *Origin) read(c *conn, r Request) (*Answer, error) {
	method := &http.Request{Method: r.Method}
	for range mostStrayAnswers {
		response, err := http.ReadResponse(c.reader, method)
		if err != nil {
			return nil, newError("read the head of an answer", kind.Unknown, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(response)
		if err != nil {
			return nil, newError("read the body of an answer", kind.Unknown, err)
		}
		if id := response.Header.Get(o.names.Attempt); id != r.Attempt {
			if id == "" || response.Close {
				return nil, newError("match an answer", kind.Unknown, errors.New("the answer has no or another attempt"))
			}
			continue
		}
		if response.Header.Get("Content-Encoding") != "" {
			return nil, newError("read the body of an answer", kind.Unknown, errors.New("the answer is encoded"))
		}
		return &Answer{Status: response.StatusCode, Header: response.Header, Body: body, isLast: response.Close,
			keepAlive: keepAliveOf(response.Header.Get("Keep-Alive"))}, nil
	}
	return nil, newError("match an answer", kind.Unknown, errors.New("too many answers to other requests"))
}

func readBody(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }() // closing a body that was read to its end can't fail in a way that matters
	if n := response.ContentLength; n > maxAnswer {
		return nil, errors.New("the answer is too long")
	} else if n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		if err != nil {
			return nil, err
		}
		_, err = response.Body.Read(make([]byte, 1)) // takes the end, so that the connection is known to be at the next answer
		if err != nil && err != io.EOF {
			return nil, err
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errors.New("the answer is too long")
	}
	return body, err
}

// keepAliveOf returns how long an idle connection stays open by the answer's own word, or 0 where it has none.
func keepAliveOf(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		if seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(seconds); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// loadOf returns the running and waiting requests that a server tells, or -1 for each where it tells none.
func loadOf(value string) (int, int) {
	parts := strings.Split(value, ",")
	if len(parts) < 2 {
		return -1, -1
	}
	running, err := strconv.Atoi(strings.TrimSpace(parts[0]))
	if err != nil {
		return -1, -1
	}
	waiting, err := strconv.Atoi(strings.TrimSpace(parts[1]))
	if err != nil {
		return -1, -1
	}
	return running, waiting
}

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReaderSize(c, readBuffer) }

// Sweep closes idle connections that are too old to be used again. It is called from time to time.
func (o *Origin) Sweep() { o.conns.sweep() }
