// Package loopback finds free ports for tests that start processes.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// lowest and highest bound the ports. They lie below those that the system gives to outgoing connections, so that a port
	// stays free while its process is away.
	lowest, highest = 12000, 30000
	// tries bounds the search.
	tries = 1000
)

// given has the ports that were returned, none of which is returned again: its process may not listen yet.
var given sync.Map

// Address returns an address with a free port. It panics where there is none, since no test can go on without.
func Address() string { return fmt.Sprintf("127.0.0.1:%d", Pair()) }

// Pair returns the first of two free ports in a row, free for TCP and UDP.
func Pair() int {
	for range tries {
		first := lowest + 2*rand.N((highest-lowest)/2)
		if !isFree(first) || !isFree(first+1) {
			continue
		}
		if _, isGiven := given.LoadOrStore(first, true); !isGiven {
			return first
		}
	}
	panic(errors.New("no two free ports in a row"))
}

func isFree(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return l.Close() != nil
	}
	return errors.Join(c.Close(), l.Close()) == nil
}
