package main

import (
	"net"
	"sync"
)

// link is a proxy that can hold back all bytes in both directions, as a cut does.
type link struct {
	address string
	mu      sync.Mutex
	isCut   bool
	changed *sync.Cond
	conns   map[net.Conn]bool
}

// newLink starts a proxy in front of an address.
func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{address: l.Addr().String(), conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c, target)
		}
	}()
	return p, nil
}

// serve connects one connection. While the link is cut, nothing passes.
func (p *link) serve(c net.Conn, target string) {
	p.wait()
	to, err := net.Dial("tcp4", target)
	if err != nil {
		_ = c.Close() // the target has ended
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[to] = true, true
	p.mu.Unlock()
	go p.copy(to, c)
	p.copy(c, to)
}

func (p *link) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		p.wait()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	for _, c := range []net.Conn{to, from} {
		_ = c.Close() // the other direction ends too
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}
}

// wait returns once the link is not cut.
func (p *link) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.isCut {
		p.changed.Wait()
	}
}

// setCut cuts the link or heals it. The connections of before a cut are gone after it.
func (p *link) setCut(isCut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = isCut
	if !isCut {
		for c := range p.conns {
			_ = c.Close() // what was held back is lost
		}
	}
	p.changed.Broadcast()
}
