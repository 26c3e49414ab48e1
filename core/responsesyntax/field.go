package responsesyntax

import (
	"math"
	"strings"
)

const (
	// maxName is the length of the longest name that is recognised, and maxValue that of the longest value of such a field.
	maxName  = len("transfer-encoding")
	maxValue = 24
)

// field is a line of the head or of the trailers. Of those that tell the length of the body, it keeps the value.
type field struct {
	name fieldKind
	// text holds the name in small letters, and then the value without the blanks around it.
	text   [maxValue]byte
	length int
	// isTooLong is set if the value has more bytes than the text holds.
	isTooLong bool
}

// addName takes a byte of the name, and returns why it is invalid, or an empty string.
func (f *field) addName(b byte) string {
	if !isToken(b) {
		return "a field name has a byte that may not be in it"
	}
	if f.length < len(f.text) {
		f.text[f.length] = toLower(b)
	}
	f.length++
	return ""
}

// endName recognises the name, and returns why it is invalid, or an empty string. A trailer may not say how the body is to be
// read, since some readers would apply it and others not.
func (f *field) endName(isTrailer bool) string {
	if f.length == 0 {
		return "a field has no name"
	}
	if f.length <= maxName {
		switch string(f.text[:f.length]) {
		case "content-length":
			f.name = contentLength
		case "transfer-encoding":
			f.name = transferEncoding
		case "trailer", "content-type", "content-encoding", "content-range":
			f.name = bodyForm
		}
	}
	f.length = 0
	if isTrailer && f.name != other {
		return "a trailer may not say how the body is to be read"
	}
	return ""
}

// addValue takes a byte of the value, and returns why it is invalid, or an empty string.
func (f *field) addValue(b byte) string {
	if isControl(b) {
		return "a field value has a control byte"
	}
	isBlank := b == ' ' || b == '\t'
	switch {
	case !f.keepsValue(), f.length == 0 && isBlank:
	case f.length < len(f.text):
		f.text[f.length] = toLower(b)
		f.length++
	case !isBlank:
		f.isTooLong = true
	}
	return ""
}

// keepsValue reports whether the value tells the length of the body.
func (f *field) keepsValue() bool { return f.name == contentLength || f.name == transferEncoding }

// value returns the value in small letters, without the blanks around it.
func (f *field) value() []byte {
	end := f.length
	for end > 0 && (f.text[end-1] == ' ' || f.text[end-1] == '\t') {
		end--
	}
	return f.text[:end]
}

// number returns the value as a number of at most 63 bits. It reports false if it is none.
func (f *field) number() (uint64, bool) {
	n, digits := uint64(0), f.value()
	for _, b := range digits {
		if b < '0' || b > '9' || n > (math.MaxInt64-uint64(b-'0'))/10 {
			return 0, false
		}
		n = 10*n + uint64(b-'0')
	}
	return n, len(digits) > 0 && !f.isTooLong
}

// isChunked reports whether the value is that of a chunked body.
func (f *field) isChunked() bool { return !f.isTooLong && string(f.value()) == "chunked" }

// isControl reports whether a byte may not be in a field value or reason.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// isToken reports whether a byte may be in a field name.
func isToken(b byte) bool {
	return 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || b == '-' || '0' <= b && b <= '9' || strings.IndexByte("!#$%&'*+.^_`|~", b) >= 0
}

func toLower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}
