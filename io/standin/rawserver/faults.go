package rawserver

import (
	"regexp"
	"strconv"
	"strings"
)

// Faults returns texts that are no responses, by their fault. Each has the body that a sound response would have, and a lenient
// parser may take it for one. The fields are lines of the head, each with its end.
func Faults(body, fields string) map[string]string {
	fields += "Connection: close\r\n" // a client that kept the connection would find it closed, and fail for that reason
	size := strconv.Itoa(len(body))
	length := "Content-Length: " + size + "\r\n"
	const line, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	chunks := "\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n"
	return map[string]string{
		"a status of 000":           "HTTP/1.1 000 X\r\n\r\n" + line + fields + length + "\r\n" + body,
		"a status of 101":           "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + line + fields + length + "\r\n" + body,
		"two blanks":                "HTTP/1.1  200 OK\r\n" + fields + length + "\r\n" + body,
		"another version":           "HTTP/2.0 200 OK\r\n" + fields + length + "\r\n" + body,
		"a reason that is no text":  "HTTP/1.1 200 \x01\r\n" + fields + length + "\r\n" + body,
		"a blank in a name":         line + fields + "X A: b\r\n" + length + "\r\n" + body,
		"a blank before the colon":  line + fields + "X-A : b\r\n" + length + "\r\n" + body,
		"a hidden length":           line + fields + "Content-Length : 99999\r\n\r\n" + body,
		"a control byte in a name":  line + fields + "X\x01: b\r\n" + length + "\r\n" + body,
		"a control byte in a value": line + fields + "X-A: \x01\r\n" + length + "\r\n" + body,
		"a folded line":             line + fields + "X-A: b\r\n c\r\n" + length + "\r\n" + body,
		"two lengths":               line + fields + length + "Content-Length: 99999\r\n\r\n" + body,
		"a length beside chunks":    line + fields + length + chunked + chunks + "\r\n",
		"another transfer encoding": line + fields + "Transfer-Encoding: identity\r\n" + length + "\r\n" + body,
		"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\n" + fields + chunked + "\r\n" + body,
		"a blank in a trailer":      line + fields + chunked + chunks + "X A: b\r\n\r\n",
		"a length in the trailers":  line + fields + chunked + chunks + "Content-Length: 3\r\n\r\n",
		"too many interim answers":  strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 9) + line + fields + length + "\r\n" + body,
	}
}

var (
	statusLine = regexp.MustCompile(`^HTTP/1\.[01] ([1-5]\d\d)( [\t -~\x80-\xff]*)?$`)
	fieldLine  = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t -~\\x80-\\xff]*$")
)

// HasValidHead reports whether a text starts with a valid head of a final response, behind any interim ones. It judges heads as
// the specification of HTTP has them, apart from the code that it tests.
func HasValidHead(text []byte) bool {
	status := ""
	for _, each := range strings.Split(string(text), "\n") {
		each = strings.TrimSuffix(each, "\r")
		switch match := statusLine.FindStringSubmatch(latin1(each)); {
		case status == "" && match == nil:
			return false
		case status == "":
			status = match[1]
		case each == "" && status == "101":
			return false
		case each == "" && status[0] != '1':
			return true
		case each == "":
			status = ""
		case !fieldLine.MatchString(latin1(each)):
			return false
		}
	}
	return false
}

// latin1 returns a text in which each character stands for a byte, since regular expressions read UTF-8.
func latin1(text string) string {
	characters := make([]rune, len(text))
	for i := range len(text) {
		characters[i] = rune(text[i])
	}
	return string(characters)
}
