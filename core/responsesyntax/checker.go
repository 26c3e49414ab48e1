// Package responsesyntax decides whether the bytes that a server sends on a connection are HTTP/1 responses. It is stricter
// than the parser of net/http, which accepts what one reader takes for another response than the next: a status of 000, field
// names with blanks that hide a body's length, folded lines, and a length beside chunks. It answers the load of faulty and
// failing backend servers, with a constant amount of memory for each connection and without allocations for valid bytes.
package responsesyntax

import "math"

// maxInterim bounds the interim responses before a response. Servers send one or two (100, 103); each is parsed in full.
const maxInterim = 8

// Checker follows the responses on one connection byte by byte. The zero value is at the start of the first response. It needs
// the raw bytes, since a parser hides what it makes of them. It must not be used concurrently.
type Checker struct {
	state  state
	line   line
	status status
	field  field
	// length is the value of Content-Length if hasLength is set, and isChunked is set by Transfer-Encoding.
	length    uint64
	hasLength bool
	isChunked bool
	// isInBody is set from the end of the head to the end of the trailers.
	isInBody bool
	chunk    chunk
	// remaining is how many bytes of the body or chunk are to come.
	remaining uint64
	// interim counts the interim responses since the last other one.
	interim int
	failure error
}

// Add checks the next bytes. It returns how many of them belong to valid responses, and an [*Error] if not all do, which later
// calls return too. Responses whose head ends in these bytes have no body if isHead is set, as responses to HEAD have.
func (c *Checker) Add(p []byte, isHead bool) (int, error) {
	for i := 0; i < len(p); {
		if c.failure != nil {
			return i, c.failure
		}
		switch c.state {
		case untilEnd:
			return len(p), nil
		case body, chunkData:
			n := int(min(c.remaining, uint64(len(p)-i)))
			i, c.remaining = i+n, c.remaining-uint64(n)
			if c.remaining == 0 {
				c.endData()
			}
			continue
		case fieldValue: // most bytes of a head are in values of which nothing is kept
			if n := c.skippable(p[i:]); n > 0 {
				i += n
				continue
			}
		case statusLine, fieldStart, fieldName, chunkLine, chunkEnd:
		}
		if reason := c.addByte(p[i], isHead); reason != "" {
			c.failure = newError(reason)
			return i, c.failure
		}
		i++
	}
	return len(p), c.failure
}

// skippable returns how many of the next bytes are valid in a value of which nothing is kept.
func (c *Checker) skippable(p []byte) int {
	if c.line.hasReturn || c.field.keepsValue() {
		return 0
	}
	for i, b := range p {
		if isControl(b) {
			return i
		}
	}
	return len(p)
}

// EndsWithConnection reports whether the current response is one whose body ends only with the connection.
func (c *Checker) EndsWithConnection() bool { return c.state == untilEnd }

// addByte checks a byte outside of data. It returns why the byte is invalid, or an empty string.
func (c *Checker) addByte(b byte, isHead bool) string {
	ended, reason := c.line.add(b, c.isInBody)
	switch {
	case reason != "":
		return reason
	case ended:
		return c.endLine(isHead)
	case b == '\r':
		return ""
	}
	switch c.state {
	case statusLine:
		return c.status.add(b)
	case fieldStart:
		if b == ' ' || b == '\t' {
			return "a field continues on another line"
		}
		c.state, c.field = fieldName, field{}
		return c.addName(b)
	case fieldName:
		return c.addName(b)
	case fieldValue:
		return c.field.addValue(b)
	case chunkLine:
		return c.chunk.add(b)
	case chunkEnd, chunkData, body, untilEnd: // data don't get here
	}
	return "a chunk is longer than its size"
}

func (c *Checker) addName(b byte) string {
	if b != ':' {
		return c.field.addName(b)
	}
	c.state = fieldValue
	return c.field.endName(c.isInBody)
}

// endLine handles the end of a line. It returns why the line is invalid, or an empty string.
func (c *Checker) endLine(isHead bool) string {
	switch c.state {
	case statusLine:
		c.state = fieldStart
		return c.status.end()
	case fieldStart:
		if c.isInBody {
			c.endResponse()
			return ""
		}
		return c.endHead(isHead)
	case fieldName:
		return "a field has no colon"
	case fieldValue:
		c.state = fieldStart
		return c.endField()
	case chunkLine:
		return c.endChunkLine()
	case chunkEnd, chunkData, body, untilEnd: // data don't get here
	}
	c.state, c.chunk = chunkLine, chunk{}
	return ""
}

// endField takes over what a field says of the length of the body.
func (c *Checker) endField() string {
	switch c.field.name {
	case contentLength:
		length, ok := c.field.number()
		switch {
		case !ok:
			return "the Content-Length is no number"
		case c.hasLength && length != c.length:
			return "there are two different lengths"
		}
		c.length, c.hasLength = length, true
	case transferEncoding:
		if c.isChunked || !c.field.isChunked() {
			return "the Transfer-Encoding is not chunked alone"
		}
		c.isChunked = true
	case other, bodyForm:
	}
	return ""
}

// endHead begins the body, or the next response if there is none.
func (c *Checker) endHead(isHead bool) string {
	hasNone := c.status.code < 200 || c.status.code == 204
	switch {
	case c.hasLength && c.isChunked:
		return "there is a length beside chunks"
	case c.isChunked && c.status.minor == 0:
		return "HTTP/1.0 has no chunks"
	case hasNone && (c.isChunked || c.length > 0):
		return "a response without a body has a length" // which a parser that skips the body takes for the next response
	case c.status.code < 200:
		interim := c.interim + 1
		c.endResponse()
		if c.interim = interim; interim > maxInterim {
			return "there are too many interim responses"
		}
	case isHead || hasNone || c.status.code == 304 || c.hasLength && c.length == 0:
		c.endResponse()
	case c.isChunked:
		c.state, c.isInBody, c.chunk = chunkLine, true, chunk{}
	case c.hasLength:
		c.state, c.remaining = body, c.length
	default:
		c.state = untilEnd
	}
	return ""
}

// endChunkLine begins the data of a chunk, or the trailers after the last one.
func (c *Checker) endChunkLine() string {
	switch {
	case c.chunk.digits == 0:
		return "a chunk has no size"
	case c.chunk.size > math.MaxInt64:
		return "a chunk is too long"
	case c.chunk.size == 0:
		c.state = fieldStart
	default:
		c.state, c.remaining = chunkData, c.chunk.size
	}
	return ""
}

// endData ends the body, or the data of a chunk.
func (c *Checker) endData() {
	if c.state == body {
		c.endResponse()
	} else {
		c.state = chunkEnd
	}
}

// endResponse begins the next response.
func (c *Checker) endResponse() { *c = Checker{} }
