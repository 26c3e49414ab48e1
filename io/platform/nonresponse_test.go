package platform_test

import (
	"testing"

	"redwingsill/core/kind"
	"redwingsill/io/platform"
	"redwingsill/io/standin/rawserver"
)

func newRawPlatform(t testing.TB) (*rawserver.RawServer, *platform.Client) {
	server, stop, err := rawserver.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient := platform.New("http://"+server.Address(), 1e6)
	t.Cleanup(closeClient)
	return server, client
}

// A faulty text that passed for a response could confirm a write that was not made.
func TestFaultyTextIsNoResponseOfThePlatform(t *testing.T) {
	server, client := newRawPlatform(t)
	for fault, text := range rawserver.Faults(`{"Revision":3}`, "") {
		server.SetResponse(text)
		if got, err := client.Write(t.Context(), "k", []byte("a"), 0, 0); !kind.Is(err, kind.Unknown) {
			t.Errorf("%s: got revision %d with error %v, want Unknown", fault, got, err)
		}
	}
}

// FuzzRawResponse checks that a write succeeds only if the response has a valid head.
func FuzzRawResponse(f *testing.F) {
	server, client := newRawPlatform(f)
	for _, text := range rawserver.Faults(`{"Revision":3}`, "") {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"Revision\":3}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		server.SetResponse(string(text))
		if _, err := client.Write(t.Context(), "k", []byte("a"), 0, 0); err == nil && !rawserver.HasValidHead(text) {
			t.Errorf("%q passes for a response", text)
		}
	})
}
