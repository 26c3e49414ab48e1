package responsesyntax

// maxSizeDigits is how many digits the size of a chunk may have, so that it fits into 64 bits.
const maxSizeDigits = 16

// chunk is the line before the data of a chunk.
type chunk struct {
	size   uint64
	digits int
	// isAfterSize is set by a blank after the size, and isInExtension by a semicolon.
	isAfterSize, isInExtension bool
}

// add takes the next byte, and returns why it is invalid, or an empty string.
func (c *chunk) add(b byte) string {
	digit, isDigit := hexDigit(b)
	switch {
	case c.isInExtension:
		if isControl(b) {
			return "a chunk extension has a control byte"
		}
	case b == ';' && c.digits > 0:
		c.isInExtension = true
	case (b == ' ' || b == '\t') && c.digits > 0:
		c.isAfterSize = true
	case !isDigit || c.isAfterSize || c.digits >= maxSizeDigits:
		return "the size of a chunk is no number"
	default:
		c.size, c.digits = c.size<<4|digit, c.digits+1
	}
	return ""
}

// hexDigit returns the value of a hexadecimal digit. It reports false if the byte is none.
func hexDigit(b byte) (uint64, bool) {
	b = toLower(b)
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return uint64(b-'a') + 10, true
	}
	return 0, false
}
