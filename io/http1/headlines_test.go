package http1_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"redwingsill/io/headlines"
)

func TestRequestOfTooManyHeaderFieldsIsRefused(t *testing.T) {
	request := func(lines int) string {
		var text strings.Builder
		text.WriteString("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n")
		for i := range lines - 3 {
			_, _ = fmt.Fprintf(&text, "f%d:\r\n", i)
		}
		return text.String() + "\r\n" + strings.Repeat("\n", 1000) // lines of the body are none of the head
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		buffer := make([]byte, 2000)
		for err := error(nil); err == nil; {
			_, err = r.Body.Read(buffer)
		}
		w.WriteHeader(http.StatusOK)
	})
	for _, c := range []struct {
		name, text string
		want       []int
	}{
		{"as many as allowed, pipelined", strings.Repeat(request(headlines.Max), 3), []int{200, 200, 200}},
		{"one more", request(headlines.Max + 1), []int{431}},
		{"one more behind others", request(headlines.Max) + request(10) + request(headlines.Max+1), []int{200, 200, 431}},
	} {
		for _, size := range []int{7, len(c.text)} {
			t.Run(fmt.Sprint(c.name, ", in parts of ", size), func(t *testing.T) {
				_, address := start(t, handler, testLimits)
				caller := dial(t, address)
				go func() {
					for rest := c.text; rest != ""; rest = rest[min(size, len(rest)):] {
						if _, err := caller.Write([]byte(rest[:min(size, len(rest))])); err != nil {
							return // the refusal closes the connection
						}
					}
				}()
				for _, want := range c.want {
					if response, _ := caller.receive(http.MethodPost); response.StatusCode != want {
						t.Fatalf("got status %d, want %d", response.StatusCode, want)
					}
				}
			})
		}
	}
}
