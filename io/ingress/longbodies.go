package ingress

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"redwingsill/core/admission"
	"redwingsill/core/rcu"
	"redwingsill/core/rule"
	"redwingsill/core/upload"
	"redwingsill/core/uploads"
)

// longBodies decides which long bodies are read.
type longBodies struct {
	now    func() time.Time
	state  *rcu.Value[uploads.Uploads]
	lastID atomic.Uint64
}

func newLongBodies(initial uploads.Uploads, now func() time.Time) *longBodies {
	b := &longBodies{now: now, state: rcu.New(initial)}
	b.lastID.Store(rand.Uint64()) // hosts make different decisions
	return b
}

// concerns reports whether a body of the given announced length, or -1, is decided on.
func (b *longBodies) concerns(length int64) bool {
	return b.state.Read().IsBounded() && (length < 0 || length > maxShortBody)
}

// offer decides whether a body is read. It returns the body if so, and otherwise why not.
func (b *longBodies) offer(route *rule.Rule, service string, isSharded bool, length int64, arrived, deadline time.Time) (*longBody, admission.Admission) {
	u := upload.Upload{ID: b.lastID.Add(1), Route: route.Name, Service: service, IsSharded: isSharded, Length: length,
		Objective: arrived.Add(route.Objective), Deadline: deadline}
	if route.Objective <= 0 {
		u.Objective = deadline
	}
	now := b.now()
	var answer admission.Admission
	b.state.Update(func(old uploads.Uploads) (next uploads.Uploads) {
		next, answer = old.WithOffer(u, now)
		return next
	})
	admitted, ok := answer.(admission.Admitted)
	if !ok {
		return nil, answer
	}
	return &longBody{upload: u, weight: admitted.Weight, owner: b}, answer
}

// countShort counts a request and its response, without a long body. Both cross the link twice.
func (b *longBodies) countShort(requestBody, responseBody int64) {
	if !b.state.Read().IsBounded() {
		return
	}
	if requestBody > maxShortBody {
		requestBody = 0
	}
	now := b.now()
	b.state.Update(func(old uploads.Uploads) uploads.Uploads {
		return old.WithShort(2*(2*assumedHead+max(0, requestBody)+responseBody), now)
	})
}
