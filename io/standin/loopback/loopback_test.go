package loopback_test

import (
	"fmt"
	"net"
	"testing"

	"redwingsill/io/standin/loopback"
)

func TestPortsAreFree(t *testing.T) {
	for range 50 {
		first := loopback.FreePortPair()
		for _, port := range []int{first, first + 1} {
			l, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
		}
	}
}

// TestPortPairsAreUnique draws 600 of the 9,000 pairs. Without the reservation, some pair would almost surely be drawn
// twice.
func TestPortPairsAreUnique(t *testing.T) {
	seen := map[int]bool{}
	for range 600 {
		first := loopback.FreePortPair()
		if seen[first] {
			t.Fatalf("the pair of ports that starts with %d was returned twice", first)
		}
		seen[first] = true
	}
}
