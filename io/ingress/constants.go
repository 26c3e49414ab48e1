package ingress

import "time"

const (
	// unknownRetry is when a host that has no configuration yet is likely to have one.
	unknownRetry = 500 * time.Millisecond
	// leavingRetry is when a caller should try again whom another host can serve at once.
	leavingRetry = 50 * time.Millisecond
	// neededPart of a route's objective is the time that a request likely needs, between neededLeast and neededMost.
	neededPart  = 0.6
	neededLeast = 300 * time.Millisecond
	neededMost  = 4 * time.Second
	// mostPatience bounds what a caller may say to wait.
	mostPatience = 24 * time.Hour
	// defaultBody bounds a body where the configuration does not.
	defaultBody = 8 << 20
	// mostBodies bounds the bytes of all bodies that are held: a part of the smallest host's memory of 184 MB.
	mostBodies = 64 << 20
)
