package responsesyntax

// line finds the ends of lines.
type line struct {
	// hasReturn is set after a carriage return.
	hasReturn bool
}

// add takes the next byte. It reports whether the byte ends a line, and returns why it is invalid, or an empty string. In a head
// a line feed alone may end a line, as in the parser of net/http; between chunks it may not, since readers differ.
func (l *line) add(b byte, isInBody bool) (ended bool, reason string) {
	hadReturn := l.hasReturn
	l.hasReturn = b == '\r'
	switch {
	case hadReturn && b != '\n':
		return false, "there is a carriage return inside a line"
	case b == '\n' && !hadReturn && isInBody:
		return false, "there is a line feed without a carriage return"
	}
	return b == '\n', ""
}
