package monitor_test

import (
	"testing"

	"redwingsill/core/kind"
	"redwingsill/io/monitor"
	"redwingsill/io/standin/rawserver"
)

func newRawMonitor(t testing.TB) (*rawserver.RawServer, *monitor.Client) {
	server, stop, err := rawserver.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient := monitor.New("http://" + server.Address())
	t.Cleanup(closeClient)
	return server, client
}

// A faulty text that passed for a response could make backend servers count as down, or as well.
func TestFaultyTextIsNoResponseOfTheMonitor(t *testing.T) {
	server, client := newRawMonitor(t)
	for fault, text := range rawserver.Faults(`{"Down":["a"]}`, "") {
		server.SetResponse(text)
		if got, err := client.DownServers(t.Context()); !kind.Is(err, kind.Unavailable) {
			t.Errorf("%s: got %q with error %v, want Unavailable", fault, got, err)
		}
	}
}

// FuzzRawResponse checks that verdicts are taken only from a response with a valid head.
func FuzzRawResponse(f *testing.F) {
	server, client := newRawMonitor(f)
	for _, text := range rawserver.Faults(`{"Down":["a"]}`, "") {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"Down\":[\"a\"]}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		server.SetResponse(string(text))
		if _, err := client.DownServers(t.Context()); err == nil && !rawserver.HasValidHead(text) {
			t.Errorf("%q passes for a response", text)
		}
	})
}
