package origin

import (
	"bytes"
	"net/http"
	"strconv"
	"time"

	"redwingsill/core/instance"
	"redwingsill/io/headers"
)

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
