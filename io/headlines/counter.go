// Package headlines counts the lines of the head of an HTTP message. A parsed header field takes many times the bytes of a
// short line, so a bound on a head's bytes doesn't bound its memory.
package headlines

// Max is the most lines that a head may have: the first line and the header fields.
const Max = 256

// Counter counts the lines of one head. The zero value is at its start.
type Counter struct {
	// hasEnded is set once the empty line that ends the head was read.
	hasEnded          bool
	lines, lineLength int
}

// Add counts the lines in further bytes, up to the end of the head. It reports whether there are at most [Max] so far.
func (c *Counter) Add(p []byte) bool {
	for _, b := range p {
		switch {
		case c.hasEnded:
			return c.lines <= Max
		case b == '\n' && c.lineLength == 0:
			c.hasEnded = true
		case b == '\n':
			c.lines, c.lineLength = c.lines+1, 0
		case b != '\r':
			c.lineLength++
		}
	}
	return c.lines <= Max
}
