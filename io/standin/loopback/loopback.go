// Package loopback finds free loopback ports for tests that start processes.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// Ports are drawn from minPort to maxPort, which lie below Linux's default range of ephemeral ports, so that no
	// outgoing connection takes the port of a process that is restarting.
	minPort, maxPort = 12000, 30000
	// maxTries is the maximum number of random port pairs that are tried.
	maxTries = 1000
)

// reserved holds the first port of each pair that was returned. No pair is returned twice, since the process that it is
// meant for may not listen yet.
var reserved sync.Map

// FreeAddress returns a loopback address with a free port. It panics if no free port is found.
func FreeAddress() string { return fmt.Sprintf("127.0.0.1:%d", FreePortPair()) }

// FreePortPair returns the first of two consecutive ports that are free for TCP and UDP. It panics if none are found.
func FreePortPair() int {
	for range maxTries {
		first := minPort + 2*rand.N((maxPort-minPort)/2)
		if !isFree(first) || !isFree(first+1) {
			continue
		}
		if _, isReserved := reserved.LoadOrStore(first, true); !isReserved {
			return first
		}
	}
	panic(errors.New("no two consecutive free ports"))
}

// isFree reports whether the port can be bound for TCP and UDP.
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
