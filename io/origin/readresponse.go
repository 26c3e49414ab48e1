package origin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwingsill/core/kind"
)

// readResponse reads the response to r. It skips interim (1xx) responses and responses to earlier requests on the
// connection and late copies of them, and fails for a response with a Content-Encoding.
func (c *Client) readResponse(from *conn, r Request) (*Response, error) {
	request := &http.Request{Method: r.Method}
	from.bounded.isHead = r.Method == http.MethodHead
	connectionID, stopTimeout := from.id, func() bool { return true } // both change with a late copy
	for range maxResponseReads {
		buffered, _ := from.reader.Peek(from.reader.Buffered()) // they are there
		if err := from.bounded.startHead(buffered); err != nil {
			return nil, newError("read response head", kind.Unknown, err)
		}
		response, err := http.ReadResponse(from.reader, request)
		if err != nil {
			return nil, newError("read response head", kind.Unknown, err)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		from.head = response
		// The body is never closed, since that would read the rest of it. It has no resources besides the connection.
		from.bounded.startPart("body", maxEncodedBody)
		if id := response.Header.Get(c.headers.AttemptID); id != r.AttemptID {
			if id == "" || response.Close {
				return nil, newError("match response to request", kind.Unknown, fmt.Errorf("the response has the attempt ID %q instead of %q", id, r.AttemptID))
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, newError("skip response body", kind.Unknown, err)
			}
			continue
		}
		if from.isLateCopy(r, response.Header) {
			if response.Close {
				return nil, newError("match response to request", kind.Unknown, errors.New("the response is a late copy of an earlier one"))
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, newError("skip response body", kind.Unknown, err)
			}
			stopTimeout()
			connectionID, stopTimeout = 0, time.AfterFunc(copyTimeout, from.abort).Stop
			continue
		}
		if encoding := response.Header.Get("Content-Encoding"); encoding != "" {
			return nil, newError("read response body", kind.Unknown, fmt.Errorf("the response has the Content-Encoding %q", encoding))
		}
		length := response.ContentLength
		if r.Method == http.MethodHead {
			length = 0 // the announced one is that of the response to GET
		}
		releaseHead, err := c.bodies.Hold(headMemory(response.Header))
		if err != nil {
			return nil, newError("read response head", kind.Unknown, err)
		}
		limit := int64(maxResponseBody)
		if r.MaxResponseBody > 0 {
			limit = min(limit, r.MaxResponseBody)
		}
		body, releaseBody, err := c.bodies.ReadAndHold(response.Body, length, limit)
		release := func() {
			releaseHead()
			releaseBody()
		}
		if err != nil {
			release()
			return nil, newError("read response body", kind.Unknown, err)
		}
		return &Response{Status: response.StatusCode, Header: response.Header, Body: body, Connection: connectionID, Ordinal: from.requests,
			closesConnection:   !stopTimeout() || connectionID == 0 || response.Close,
			endsWithConnection: from.bounded.syntax.EndsWithConnection(),
			keepAlive:          parseKeepAlive(response.Header.Get("Keep-Alive")), release: release}, nil
	}
	return nil, newError("match response to request", kind.Unknown, fmt.Errorf("none of %d responses is the final one to the request", maxResponseReads))
}

// headMemory returns about how many bytes of memory header fields take.
func headMemory(h http.Header) int64 {
	size := int64(0)
	for name, values := range h {
		size += fieldMemory + int64(len(name))
		for _, value := range values {
			size += int64(len(value))
		}
	}
	return size
}

// parseKeepAlive returns the timeout parameter of a Keep-Alive header, or defaultKeepAlive if it has no valid one.
func parseKeepAlive(value string) time.Duration {
	for _, part := range strings.Split(value, ",") {
		if seconds, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(seconds); err == nil {
				return time.Duration(n) * time.Second
			}
		}
	}
	return defaultKeepAlive
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
