// Package task runs goroutines for an owner that waits for their ends.
package task

import (
	"context"
	"sync"
)

// Group is the goroutines of one owner. Each reports its end on a channel that the group reads.
type Group struct {
	ctx    context.Context
	ends   chan struct{}
	starts chan struct{}
	idle   chan struct{}
	once   sync.Once
}

// New returns a group whose goroutines' context ends with ctx, and its clean-up: it ends the context and waits for
// every goroutine's report.
func New(ctx context.Context) (*Group, func()) {
	ctx, cancel := context.WithCancel(ctx)
	g := &Group{ctx: ctx, ends: make(chan struct{}), starts: make(chan struct{}), idle: make(chan struct{})}
	go g.count()
	return g, func() {
		cancel()
		g.once.Do(func() { close(g.starts) })
		<-g.idle
	}
}

// Context returns the context that the group's goroutines take.
func (g *Group) Context() context.Context { return g.ctx }

// Go runs f in a goroutine of the group. After the group's clean-up it does nothing.
func (g *Group) Go(f func(ctx context.Context)) {
	defer func() { _ = recover() }() // the group may close between the check and the send
	select {
	case <-g.ctx.Done():
		return
	case g.starts <- struct{}{}:
	}
	go func() {
		defer func() { g.ends <- struct{}{} }()
		f(g.ctx)
	}()
}

// count reads the reports until the group is closed and every goroutine has ended.
func (g *Group) count() {
	running, starts := 0, g.starts
	for starts != nil || running > 0 {
		select {
		case _, ok := <-starts:
			if !ok {
				starts = nil
				continue
			}
			running++
		case <-g.ends:
			running--
		}
	}
	close(g.idle)
}
