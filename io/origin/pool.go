package origin

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"redwingsill/core/kind"
	"redwingsill/io/tcp"
)

// pool keeps the connections by address, the one used last on top.
type pool struct {
	now    func() time.Time
	dialer net.Dialer
	// The lock is held for some instructions only; connections are opened outside it.
	mu     sync.Mutex
	idle   map[string][]*conn
	open   map[string]int
	closed bool
}

func newPool(now func() time.Time) *pool {
	return &pool{now: now, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.UserTimeout(userTimeout)},
		idle: map[string][]*conn{}, open: map[string]int{}}
}

// get returns an idle connection or a new one.
func (p *pool) get(ctx context.Context, address string, limit int) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if p.now().Before(c.idleUntil) && c.isQuiet() {
			return c, nil
		}
		c.close()
	}
	if !p.reserve(address, limit) {
		return nil, newError("connect to "+address, kind.Full, errors.New("all connections are in use"))
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.forget(address)
		return nil, newError("connect to "+address, kind.Unavailable, err)
	}
	return &conn{Conn: raw, reader: newReader(raw), address: address, onClose: func() { p.forget(address) }}, nil
}

func (p *pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

func (p *pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

func (p *pool) forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// put keeps a connection for the next request.
func (p *pool) put(c *conn, keepAlive time.Duration) {
	if keepAlive == 0 {
		keepAlive = idleDefault + idleMargin
	}
	c.idleUntil = p.now().Add(keepAlive - idleMargin)
	p.mu.Lock()
	isKept := !p.closed && p.now().Before(c.idleUntil)
	if isKept {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if !isKept {
		c.close()
	}
}

// sweep closes the idle connections that are too old to be used again.
func (p *pool) sweep() {
	var old []*conn
	now := p.now()
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	var all []*conn
	for _, idle := range p.idle {
		all = append(all, idle...)
	}
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, c := range all {
		c.close()
	}
}
