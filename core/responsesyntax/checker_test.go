package responsesyntax_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"redwingsill/core/responsesyntax"
)

const start = "HTTP/1.1 200 X\r\n"

// Where the first byte that is not part of a valid response is, so that a parser never gets the end of a faulty head.
func TestInvalidBytesEndTheValidOnes(t *testing.T) {
	for _, c := range []struct {
		name, text string
		valid      int // -1 if the whole text is valid
	}{
		{"a status of 000", "HTTP/1.1 000 X\r\n\r\n", len("HTTP/1.1 000 X\r")},
		{"a status of 101", "HTTP/1.1 101 X\r\n\r\n", len("HTTP/1.1 101 X\r")},
		{"a status of two digits", "HTTP/1.1 20\r\n", len("HTTP/1.1 20\r")},
		{"a blank in a name", start + "a b: c\r\n\r\n", len(start + "a")},
		{"a folded line", start + "a: b\r\n c\r\n\r\n", len(start + "a: b\r\n")},
		{"two lengths", start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", len(start + "Content-Length: 1\r\nContent-Length: 2\r")},
		{"a length beside chunks", start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", len(start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r")},
		{"a value too long to be kept", start + "Transfer-Encoding: chunked" + strings.Repeat(" ", 30) + "x\r\n", len(start+"Transfer-Encoding: chunked") + 32},
		{"blanks behind a value", start + "Transfer-Encoding: chunked" + strings.Repeat(" ", 30) + "\r\n\r\n", -1},
		{"a line feed alone between chunks", start + "Transfer-Encoding: chunked\r\n\r\n1\n", len(start + "Transfer-Encoding: chunked\r\n\r\n1")},
		{"interim responses", strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 8) + start, -1},
		{"too many interim responses", strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 9), 9*len("HTTP/1.1 103 X\r\n\r\n") - 1},
		{"bytes behind a response", start + "Content-Length: 1\r\n\r\nab", len(start + "Content-Length: 1\r\n\r\na")},
		{"a body without a length", start + "\r\n\x00\r\n \n", -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			want := c.valid
			if want < 0 {
				want = len(c.text)
			}
			for _, step := range []int{1, 2, len(c.text)} {
				var checker responsesyntax.Checker
				total, err := 0, error(nil)
				for rest := c.text; rest != "" && err == nil; {
					var n int
					n, err = checker.Add([]byte(rest[:min(step, len(rest))]), false)
					total, rest = total+n, rest[min(step, len(rest)):]
				}
				var invalid *responsesyntax.Error
				if total != want || errors.As(err, &invalid) != (c.valid >= 0) {
					t.Errorf("in steps of %d: %d valid bytes and error %v, want %d of %d", step, total, err, want, len(c.text))
				}
				if n, again := checker.Add([]byte(start), false); c.valid >= 0 && (n != 0 || again == nil) {
					t.Errorf("%d bytes behind invalid ones are valid", n)
				}
			}
		})
	}
}

func TestEndWithTheConnection(t *testing.T) {
	for text, want := range map[string]bool{
		start + "\r\n":                                   true,
		start + "\r\nabc":                                true,
		start + "\r":                                     false,
		start + "Content-Length: 1\r\n\r\n":              false,
		start + "Transfer-Encoding: chunked\r\n\r\n":     false,
		"HTTP/1.1 204 X\r\n\r\n":                         false,
		"HTTP/1.1 103 X\r\n\r\n":                         false,
		"HTTP/1.1 103 X\r\n\r\n" + start + "\r\n":        true,
		start + "Content-Length: 0\r\n\r\n" + start + "": false,
	} {
		var checker responsesyntax.Checker
		if _, err := checker.Add([]byte(text), false); err != nil || checker.EndsWithConnection() != want {
			t.Errorf("%q: %v with error %v, want %v", text, checker.EndsWithConnection(), err, want)
		}
	}
}

func TestValidBytesAreCheckedWithoutAllocations(t *testing.T) {
	text := []byte("HTTP/1.1 103 X\r\nLink: a\r\n\r\n" + start + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\na\r\n0\r\nX-A: b\r\n\r\n")
	var checker responsesyntax.Checker
	if n := testing.AllocsPerRun(100, func() { _, _ = checker.Add(text, false) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// FuzzChecker compares the checker with the parser of net/http. What is valid must mean the same to both, else bytes that the
// checker takes for a body could be a response to the parser, or the reverse. How the bytes are split must not matter.
func FuzzChecker(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 204 X\r\nContent-Length: 5\r\n\r\nabcde", "HTTP/1.1 101 X\r\n\r\n", "HTTP/1.0 200\n\nabc",
		start + "Content-Length : 5\r\n\r\nabcde", start + "Content Length: 5\r\n\r\nabcde", start + "A\x01: b\r\n\r\n", start + "A: \x7f\r\n\r\n",
		start + "Content-Length: 5\r\nContent-Length: 05\r\n\r\nabcde", start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", start + "A: b\r\n Content-Length: 5\r\n\r\nabcde",
		start + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nabcde\r\n0\r\nA: b\r\n\r\n", start + "Transfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 1\r\n\r\n",
		"HTTP/1.1 100 X\r\n\r\n" + start + "Content-Length: 5\r\n\r\nabcde" + start,
	} {
		f.Add([]byte(seed), uint8(1), false)
		f.Add([]byte(seed), uint8(3), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, step uint8, isHead bool) {
		var whole, split responsesyntax.Checker
		valid, err := whole.Add(text, isHead)
		total, splitErr := 0, error(nil)
		for rest := text; len(rest) > 0 && splitErr == nil; {
			size := min(int(step)+1, len(rest))
			var n int
			n, splitErr = split.Add(rest[:size], isHead)
			total, rest = total+n, rest[size:]
		}
		if valid != total || (err == nil) != (splitErr == nil) {
			t.Fatalf("%d valid bytes with error %v at once, %d with error %v in steps", valid, err, total, splitErr)
		}
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		for rest := text[:valid]; len(rest) > 0; {
			reader := bufio.NewReaderSize(bytes.NewReader(rest), 64<<10)
			response, err := http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				return // the parser is stricter, or the response is cut
			}
			body, err := io.ReadAll(response.Body)
			if err != nil {
				return
			}
			rest, _ = io.ReadAll(reader)
			// The parser has read one whole response, and the checker must be at its end too.
			end := valid - len(rest)
			var atEnd responsesyntax.Checker
			if _, err := atEnd.Add(text[:end], isHead); err != nil {
				t.Fatalf("the first %d bytes are invalid: %v", end, err)
			}
			isWithoutLength := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
			if atEnd.EndsWithConnection() != isWithoutLength {
				t.Fatalf("ends with the connection: %v, want %v", atEnd.EndsWithConnection(), isWithoutLength)
			}
			if n, err := atEnd.Add([]byte("?"), isHead); !isWithoutLength && (err == nil || n != 0) {
				t.Fatalf("a response with the body %q goes on behind byte %d", body, end)
			}
		}
	})
}
