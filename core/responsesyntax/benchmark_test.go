package responsesyntax_test

import (
	"testing"

	"redwingsill/core/responsesyntax"
)

// BenchmarkHead checks a response of usual length, which each request pays for.
func BenchmarkHead(b *testing.B) {
	head := []byte(start + "Date: Mon, 02 Jan 2006 15:04:05 GMT\r\nContent-Type: application/octet-stream\r\nX-Attempt-Id: 0123456789abcdef\r\n" +
		"X-Server-Seal: 0123456789abcdef0123456789abcdef\r\nX-Server-Load: 2,1,3,100\r\nX-Instance-Id: i-0123456789\r\nContent-Length: 0\r\n\r\n")
	b.SetBytes(int64(len(head)))
	b.ReportAllocs()
	var checker responsesyntax.Checker
	for b.Loop() {
		if _, err := checker.Add(head, false); err != nil {
			b.Fatal(err)
		}
	}
}
