// Package task runs groups of goroutines that end together.
package task

import (
	"context"
	"sync"
)

// Group runs goroutines with a common context and waits for all of them. Another goroutine receives their starts and
// ends over channels and counts those that are running.
type Group struct {
	ctx    context.Context
	ends   chan struct{}
	starts chan struct{}
	// closing is closed when no more goroutines may start, and idle when all have ended.
	closing chan struct{}
	idle    chan struct{}
	once    sync.Once
}

// New returns a group whose context is derived from ctx, and a function that cancels the context and waits until all
// goroutines of the group have ended.
func New(ctx context.Context) (*Group, func()) {
	ctx, cancel := context.WithCancel(ctx)
	g := &Group{ctx: ctx, ends: make(chan struct{}), starts: make(chan struct{}), closing: make(chan struct{}), idle: make(chan struct{})}
	go g.countRunning()
	return g, func() {
		cancel()
		g.once.Do(func() { close(g.closing) })
		<-g.idle
	}
}

// Context returns the context that the group passes to its goroutines.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a new goroutine of the group. It may do nothing once the group's context is cancelled, and does nothing
// after the group has ended.
func (g *Group) Go(f func(ctx context.Context)) {
	select {
	case <-g.ctx.Done():
		return
	case <-g.closing:
		return
	case g.starts <- struct{}{}:
	}
	go func() {
		defer func() { g.ends <- struct{}{} }()
		f(g.ctx)
	}()
}

// countRunning counts the running goroutines, and closes idle when the group is closed and all of them have ended.
func (g *Group) countRunning() {
	running, starts, closing := 0, g.starts, g.closing
	for closing != nil || running > 0 {
		select {
		case <-closing:
			starts, closing = nil, nil // a nil channel is never ready
		case <-starts:
			running++
		case <-g.ends:
			running--
		}
	}
	close(g.idle)
}
