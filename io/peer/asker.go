package peer

import (
	"sync/atomic"

	"golang.org/x/sync/singleflight"
)

// asker keeps one connection for the requests sent on to a host.
type asker struct {
	current atomic.Pointer[link]
	dials   singleflight.Group
}

// link returns the open connection, or a new one. Callers that come while one dials share its result.
func (a *asker) link(dial func() (*link, error)) (*link, error) {
	if l := a.current.Load(); l != nil && l.isOpen() {
		return l, nil
	}
	next, err, _ := a.dials.Do("", func() (any, error) {
		if l := a.current.Load(); l != nil && l.isOpen() {
			return l, nil
		}
		l, err := dial()
		if err != nil {
			return nil, err
		}
		a.current.Store(l)
		return l, nil
	})
	if err != nil {
		return nil, err
	}
	return next.(*link), nil
}
