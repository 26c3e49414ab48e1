package origin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwingsill/core/kind"
)

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
