package updates_test

import (
	"errors"
	"net/netip"
	"testing"

	"redwingsill/core/kind"
	"redwingsill/io/standin/rawserver"
	"redwingsill/io/updates"
)

func newRawHost(t testing.TB) (*rawserver.RawServer, *updates.Client, netip.AddrPort) {
	server, stop, err := rawserver.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient := updates.New()
	t.Cleanup(closeClient)
	return server, client, netip.MustParseAddrPort(server.Address())
}

const updateBody = `{"At":77,"Age":30000000,"Records":[]}`

// A faulty text that passed for a response could give an empty list in place of the entries.
func TestFaultyTextIsNoResponseOfAHost(t *testing.T) {
	server, client, address := newRawHost(t)
	for fault, text := range rawserver.Faults(updateBody, "") {
		server.SetResponse(text)
		var failed *updates.Error
		if got, err := client.Entries(t.Context(), address, "p/"); !errors.As(err, &failed) || failed.Kind != kind.Unknown {
			t.Errorf("%s: got %+v with error %v, want Unknown", fault, got, err)
		}
	}
}

// The end of a body in chunks proves that it is whole.
func TestDocumentInACutBodyIsNone(t *testing.T) {
	server, client, address := newRawHost(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + updateBody,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n25\r\n" + updateBody + "\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n" + updateBody + "x",
	} {
		server.SetResponse(text)
		if got, err := client.Entries(t.Context(), address, "p/"); err == nil {
			t.Errorf("%q: got %+v", text, got)
		}
	}
	server.SetResponse("HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n" + updateBody + "\n")
	if _, err := client.Entries(t.Context(), address, "p/"); err != nil {
		t.Error(err)
	}
}

// FuzzRawResponse checks that updates are taken only from a response with a valid head.
func FuzzRawResponse(f *testing.F) {
	server, client, address := newRawHost(f)
	for _, text := range rawserver.Faults(updateBody, "") {
		f.Add([]byte(text))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 37\r\n\r\n" + updateBody))
	f.Fuzz(func(t *testing.T, text []byte) {
		server.SetResponse(string(text))
		if _, err := client.Entries(t.Context(), address, "p/"); err == nil && !rawserver.HasValidHead(text) {
			t.Errorf("%q passes for a response", text)
		}
	})
}
