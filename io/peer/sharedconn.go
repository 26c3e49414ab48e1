package peer

import (
	"sync/atomic"

	"golang.org/x/sync/singleflight"
)

// sharedConn holds the connection on which requests are forwarded to a host, and dials it when needed.
type sharedConn struct {
	current atomic.Pointer[clientConn]
	dialing singleflight.Group
}

// get returns the open connection or dials a new one. Concurrent callers share one dial.
func (s *sharedConn) get(dial func() (*clientConn, error)) (*clientConn, error) {
	if conn := s.current.Load(); conn != nil && conn.isOpen() {
		return conn, nil
	}
	dialed, err, _ := s.dialing.Do("", func() (any, error) {
		if conn := s.current.Load(); conn != nil && conn.isOpen() {
			return conn, nil
		}
		conn, err := dial()
		if err != nil {
			return nil, err
		}
		s.current.Store(conn)
		return conn, nil
	})
	if err != nil {
		return nil, err
	}
	return dialed.(*clientConn), nil
}
