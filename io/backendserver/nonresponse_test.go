package backendserver_test

import (
	"net/http"
	"testing"
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/outcome"
	"redwingsill/core/request"
	"redwingsill/io/attribute"
	"redwingsill/io/backendserver"
	"redwingsill/io/bodybudget"
	"redwingsill/io/standin/rawserver"
)

// newRawClient starts a server of given bytes, and returns it with a function that sends it a request.
func newRawClient(t testing.TB) (*rawserver.RawServer, func(t *testing.T, body []byte) outcome.Outcome) {
	server, stop, err := rawserver.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient := backendserver.New(server.Address(), 4, &bodybudget.BodyBudget{}, time.Now)
	t.Cleanup(closeClient)
	return server, func(t *testing.T, body []byte) outcome.Outcome {
		got, _ := client.Run(t.Context(), effect.Run{Deadline: time.Now().Add(5 * time.Second),
			Request: request.Request{Attributes: map[string]string{attribute.Method: http.MethodPost}, Body: body}})
		return got
	}
}

// A faulty text that passed for a response would be a cut answer, or a promise that the request has not run.
func TestFaultyTextIsNoResponse(t *testing.T) {
	server, run := newRawClient(t)
	for _, fields := range []string{"", "Redwingsill-Refused: Shed\r\n"} {
		for fault, text := range rawserver.Faults("body", fields) {
			server.SetResponse(text)
			got := run(t, nil)
			if _, isUnknown := got.(outcome.Unknown); !isUnknown {
				t.Errorf("%s with %q: got %+v, want Unknown", fault, fields, got)
			}
		}
	}
}

// The pending write may consume the error of a reset, so that the read sees an end of file.
func TestResponseIsCutByAResetDuringTheWrite(t *testing.T) {
	server, run := newRawClient(t)
	server.SetCutResponse("HTTP/1.1 200 OK\r\n\r\nhalf")
	passed := 0
	for range 50 {
		if _, isAnswered := run(t, make([]byte, 8<<20)).(outcome.Answered); isAnswered {
			passed++
		}
	}
	if passed > 0 {
		t.Errorf("%d of 50 cut responses passed for whole", passed)
	}
}

func TestResponseWithoutLengthIsWholeAfterTheRequest(t *testing.T) {
	server, run := newRawClient(t)
	server.SetResponse("HTTP/1.1 200 OK\r\n\r\nwhole")
	for _, size := range []int{0, 1, 8 << 20} {
		if got, isAnswered := run(t, make([]byte, size)).(outcome.Answered); !isAnswered || string(got.Body) != "whole" {
			t.Errorf("behind a body of %d bytes: got %+v", size, got)
		}
	}
}

// FuzzRawResponse checks that a request has an outcome other than Unknown only by a response with a valid head.
func FuzzRawResponse(f *testing.F) {
	server, run := newRawClient(f)
	for _, fields := range []string{"", "Redwingsill-Refused: Shed\r\n"} {
		for _, text := range rawserver.Faults("body", fields) {
			f.Add([]byte(text))
		}
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"))
	f.Fuzz(func(t *testing.T, text []byte) {
		server.SetResponse(string(text))
		if _, isUnknown := run(t, nil).(outcome.Unknown); !isUnknown && !rawserver.HasValidHead(text) {
			t.Errorf("%q passes for a response", text)
		}
	})
}
