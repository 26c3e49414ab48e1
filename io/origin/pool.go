package origin

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"redwingsill/core/kind"
	"redwingsill/io/tcp"
)

// pool keeps idle connections by address and reuses the most recently used one first.
type pool struct {
	now    func() time.Time
	dialer net.Dialer
	// mu is held only for map operations. Connections are opened and closed without it.
	mu   sync.Mutex
	idle map[string][]*conn
	// open counts the connections to each address, idle ones included.
	open   map[string]int
	closed bool
	// lastID is the ID of the connection that was opened last.
	lastID atomic.Int64
}

func newPool(now func() time.Time) *pool {
	return &pool{now: now, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: tcp.UserTimeout(tcpUserTimeout)},
		idle: map[string][]*conn{}, open: map[string]int{}}
}

// get returns an idle connection to address that may carry the request, the one that it asks for if possible, or opens one. If
// limit connections are open, it closes an idle one to make room, and fails with [kind.Full] if there is none. It fails with
// [kind.Unavailable] if no connection can be opened.
func (p *pool) get(ctx context.Context, address string, limit int, r Request) (*conn, error) {
	for {
		c := p.popIdle(address, func(c *conn) bool { return c.id == r.Connection && r.mayUse(c) })
		if c == nil {
			c = p.popIdle(address, r.mayUse)
		}
		if c == nil {
			break
		}
		if p.now().Before(c.idleUntil) && c.isIdle() {
			return c, nil
		}
		c.close()
	}
	isReserved := p.reserve(address, limit)
	if !isReserved {
		if c := p.popIdle(address, func(*conn) bool { return true }); c != nil {
			c.close()
			isReserved = p.reserve(address, limit)
		}
	}
	if !isReserved {
		return nil, newError("connect to "+address, kind.Full, fmt.Errorf("all %d connections are in use", limit))
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		p.release(address)
		return nil, newError("connect to "+address, kind.Unavailable, err)
	}
	return newConn(raw, p.lastID.Add(1), address, func() { p.release(address) }), nil
}

// popIdle removes and returns the most recently used idle connection that mayUse accepts, or nil.
func (p *pool) popIdle(address string, mayUse func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i, c := range slices.Backward(idle) {
		if mayUse(c) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// reserve adds a connection that is about to be opened to the count, and reports whether the limit allows it.
func (p *pool) reserve(address string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] >= limit {
		return false
	}
	p.open[address]++
	return true
}

// release removes a connection that was closed or could not be opened from the count.
func (p *pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// put returns a connection to the pool, which keeps it for keepAlive, the server's Keep-Alive timeout, less idleMargin.
// If no time remains or the pool is closed, it closes the connection.
func (p *pool) put(c *conn, keepAlive time.Duration) {
	c.idleUntil = p.now().Add(keepAlive - idleMargin)
	p.mu.Lock()
	keep := !p.closed && p.now().Before(c.idleUntil)
	if keep {
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// closeExpired closes the idle connections that must no longer be reused.
func (p *pool) closeExpired() {
	var expired []*conn
	now := p.now()
	p.mu.Lock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}

// close closes the idle connections. Connections put back later are closed too.
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
