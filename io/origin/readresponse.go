package origin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwingsill/core/kind"
)

// readResponse reads the response to r. It skips interim (1xx) responses and responses to earlier requests on the
// connection, and fails for a response with a Content-Encoding.
func (c *Client) readResponse(from *conn, r Request) (*Response, error) {
	request := &http.Request{Method: r.Method}
	for range maxResponseReads {
		response, err := http.ReadResponse(from.reader, request)
		if err != nil {
			return nil, newError("read response head", kind.Unknown, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		from.head = response
		body, err := readBody(response)
		if err != nil {
			return nil, newError("read response body", kind.Unknown, err)
		}
		if id := response.Header.Get(c.headers.AttemptID); id != r.AttemptID {
			if id == "" || response.Close {
				return nil, newError("match response to request", kind.Unknown, fmt.Errorf("the response has the attempt ID %q instead of %q", id, r.AttemptID))
			}
			continue
		}
		if encoding := response.Header.Get("Content-Encoding"); encoding != "" {
			return nil, newError("read response body", kind.Unknown, fmt.Errorf("the response has the Content-Encoding %q", encoding))
		}
		return &Response{Status: response.StatusCode, Header: response.Header, Body: body, closesConnection: response.Close,
			keepAlive: parseKeepAlive(response.Header.Get("Keep-Alive"))}, nil
	}
	return nil, newError("match response to request", kind.Unknown, fmt.Errorf("none of %d responses is the final one to the request", maxResponseReads))
}

// readBody reads the body to its end, so that the connection is positioned at the next response.
func readBody(response *http.Response) ([]byte, error) {
	defer func() { _ = response.Body.Close() }() // the body has been read or the connection is closed
	if n := response.ContentLength; n > maxResponseBody {
		return nil, fmt.Errorf("the response body has %d bytes, more than %d", n, maxResponseBody)
	} else if n >= 0 {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		if err != nil {
			return nil, err
		}
		_, err = response.Body.Read(make([]byte, 1)) // reads the EOF
		if err != nil && err != io.EOF {
			return nil, err
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBody+1))
	if err == nil && len(body) > maxResponseBody {
		err = fmt.Errorf("the response body has more than %d bytes", maxResponseBody)
	}
	return body, err
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, or 0 if it has no valid one.
func parseKeepAlive(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		if seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(seconds); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return 0
}

// parseLoad returns the numbers of running and waiting requests from a load header, or -1 for each if it is missing or
// malformed.
func parseLoad(value string) (int, int) {
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

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReaderSize(c, readBufferSize) }
