package responsesyntax

const (
	// version is the start of each status line, up to the digit of the minor version.
	version = "HTTP/1."
	// statusLength is the length of a status line with neither a reason nor the blank before it.
	statusLength = len(version) + len("1 200")
	// switchingProtocols is a status that needs an Upgrade in the request, which no reader sends.
	switchingProtocols = 101
)

// status is the status line of a response.
type status struct {
	minor int
	code  int
	// length counts its bytes up to that after the code.
	length int
}

// add takes the next byte, and returns why it is invalid, or an empty string.
func (s *status) add(b byte) string {
	position := s.length
	switch {
	case position > statusLength:
		if isControl(b) {
			return "the reason has a control byte"
		}
		return ""
	case position < len(version):
		if b != version[position] {
			return "it does not start with HTTP/1"
		}
	case position == len(version):
		if b != '0' && b != '1' {
			return "the version is neither HTTP/1.0 nor HTTP/1.1"
		}
		s.minor = int(b - '0')
	case position == len(version)+1 || position == statusLength:
		if b != ' ' {
			return "the status is not three digits"
		}
	case b < '0' || b > '9':
		return "the status is not three digits"
	default:
		s.code = 10*s.code + int(b-'0')
	}
	s.length++
	return ""
}

// end returns why the whole line is invalid, or an empty string.
func (s *status) end() string {
	switch {
	case s.length < statusLength:
		return "the status is not three digits"
	case s.code < 100 || s.code > 599:
		return "the status is outside of 100 to 599"
	case s.code == switchingProtocols:
		return "it switches to another protocol"
	}
	return ""
}
