package main

import (
	"fmt"
	"sync"
	"time"
)

const keyCount = 1 << 16

// keyHolders knows which backend server took which key under which fencing token.
type keyHolders struct {
	mu sync.Mutex
	// fences gives, by server and key, the highest fencing token under which the server has had the key.
	fences map[string]*[keyCount]int64
	broken []string
}

func newKeyHolders() *keyHolders { return &keyHolders{fences: map[string]*[keyCount]int64{}} }

// take records that a server takes keys, and returns what is wrong with that, or an empty text: each token must be above all with
// which other servers had the key.
func (h *keyHolders) take(server string, from, to int, fence int64) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	own, ok := h.fences[server]
	if !ok {
		own = &[keyCount]int64{}
		h.fences[server] = own
	}
	problem := ""
	for key := from; key <= to; key++ {
		for other, theirs := range h.fences {
			if other != server && theirs[key] >= fence && problem == "" {
				problem = fmt.Sprintf("server %s takes key %d with token %d, and server %s had it with token %d", server, key, fence, other, theirs[key])
			}
		}
		own[key] = max(own[key], fence)
	}
	if problem != "" {
		h.broken = append(h.broken, problem)
	}
	return problem
}

func (h *keyHolders) problems() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.broken
}

// holding is a range of keys that a server holds until a time.
type holding struct {
	from, to int
	fence    int64
	until    time.Time
}

// without returns the parts of the holding outside of a range.
func (h holding) without(from, to int) []holding {
	if h.from > to || h.to < from {
		return []holding{h}
	}
	var parts []holding
	if h.from < from {
		parts = append(parts, holding{from: h.from, to: from - 1, fence: h.fence, until: h.until})
	}
	if h.to > to {
		parts = append(parts, holding{from: to + 1, to: h.to, fence: h.fence, until: h.until})
	}
	return parts
}
