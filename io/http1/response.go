package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/net/http/httpguts"
)

// errConnectionEnded is the error of a response that can't be sent.
var errConnectionEnded = errors.New("the connection has ended")

// buffers holds *bytes.Buffer for responses.
var buffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header { return e.header }

// WriteHeader implements http.ResponseWriter.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 {
		e.status = status
	}
}

// Write implements http.ResponseWriter. It sends the response if p is a whole body of the length that the header has.
func (e *exchange) Write(p []byte) (int, error) {
	e.WriteHeader(http.StatusOK)
	if e.isSent {
		return 0, http.ErrContentLength
	}
	if len(e.unsent) == 0 && e.header.Get("Content-Length") == strconv.Itoa(len(p)) {
		return len(p), e.send(p)
	}
	e.unsent = append(e.unsent, p...)
	return len(p), nil
}

// flush sends the response if it is not sent. A body that is not as long as the header says is not sent.
func (e *exchange) flush() {
	if e.isSent {
		return
	}
	e.WriteHeader(http.StatusOK)
	length := e.header.Get("Content-Length")
	if length != "" && e.hasBody() && length != strconv.Itoa(len(e.unsent)) {
		e.connection.server.log.Error("response of another length than announced", "Announced", length, "Length", len(e.unsent))
		return
	}
	_ = e.send(e.unsent) // closes the connection if it fails
}

// hasBody reports whether the response has a body, by the method of the request and the status.
func (e *exchange) hasBody() bool {
	return (e.request == nil || e.request.Method != http.MethodHead) && e.status >= http.StatusOK && e.status != http.StatusNoContent &&
		e.status != http.StatusNotModified
}

// send waits until it is the response's turn, and writes it.
func (e *exchange) send(body []byte) error {
	e.isSent = true
	if !e.awaitTurn(len(body)) {
		return errConnectionEnded
	}
	wantsClose := !e.body.isRead() || httpguts.HeaderValuesContainsToken(e.header["Connection"], "close")
	closes := e.connection.beginResponse(e, wantsClose)
	leavesBody := closes && e.refusesBody(len(body))
	if leavesBody {
		e.connection.leaveBody(e)
	} else {
		e.body.end(false)
	}
	if err := e.write(body, closes); err != nil {
		e.connection.abort()
		return err
	}
	e.connection.endResponse(e)
	e.body.end(false) // only now if the rest of the body is not read
	return nil
}

// write writes the response.
func (e *exchange) write(body []byte, closes bool) error {
	if !e.hasBody() {
		body = nil
	}
	e.complete(len(body), closes)
	b := buffers.Get().(*bytes.Buffer)
	b.Reset()
	_, _ = fmt.Fprintf(b, "HTTP/1.1 %03d %s\r\n", e.status, http.StatusText(e.status)) // writes to a buffer don't fail
	_ = e.header.Write(b)
	b.WriteString("\r\n")
	if b.Len()+len(body) <= maxSingleWrite {
		b.Write(body)
		body = nil
	}
	_, err := e.connection.Write(b.Bytes())
	if err == nil && len(body) > 0 {
		_, err = e.connection.Write(body)
	}
	buffers.Put(b)
	return err
}

// complete sets the header fields that concern the connection and the length of the body.
func (e *exchange) complete(length int, closes bool) {
	delete(e.header, "Transfer-Encoding")
	delete(e.header, "Connection")
	if closes {
		e.header.Set("Connection", "close")
	}
	if date, ok := e.header["Date"]; !ok {
		e.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	} else if date == nil {
		delete(e.header, "Date")
	}
	switch {
	case e.hasBody():
		e.header.Set("Content-Length", strconv.Itoa(length))
	case e.status < http.StatusOK || e.status == http.StatusNoContent:
		delete(e.header, "Content-Length")
	}
}
