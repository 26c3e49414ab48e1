package origin

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"redwingsill/core/instance"
	"redwingsill/io/headers"
)

// encodeHead returns the request line and the header fields, with capacity for the body. It leaves out Expect and the
// hop-by-hop fields, and replaces the fields that this client sets itself. The deadline field holds the remaining time
// in milliseconds, and at least 1.
func (c *Client) encodeHead(to instance.Instance, r Request, remaining time.Duration) []byte {
	b := bytes.NewBuffer(make([]byte, 0, headCapacity+len(r.Body)))
	writeField := func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	}
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\n")
	writeField("Host", r.Host)
	for name, values := range r.Header {
		switch name {
		case c.headers.ExpectInstance, c.headers.Deadline, "Content-Length", "Host", "Expect":
			continue
		}
		if headers.IsHopByHop(name, r.Header["Connection"]) {
			continue
		}
		for _, value := range values {
			writeField(name, value)
		}
	}
	writeField(c.headers.ExpectInstance, to.ID)
	writeField(c.headers.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeField("Content-Length", strconv.Itoa(len(r.Body)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
