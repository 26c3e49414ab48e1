// Package uploads decides which long bodies an entry host reads. The load that it answers: a burst of uploads for a service that
// can take half of them, through hosts whose links carry some ten a second.
package uploads

import (
	"maps"
	"time"

	"redwingsill/core/admission"
	"redwingsill/core/linkload"
	"redwingsill/core/upload"
)

// maxDestinations bounds the routes and services whose outcomes are kept. It is far above what configurations have.
const maxDestinations = 256

// maxWorkShare bounds the part of the objective that the work counts for. Else, after a time of long queues, every body would be
// refused and nothing would show that the queues have ended.
const maxWorkShare = 0.5

// maxRefusedBytes is what a caller sends of a refused body before it has the refusal, in bytes: what the receive buffer of its
// connection holds.
const maxRefusedBytes = 32 << 10

// Uploads is the state of the long bodies on one host. The zero value, of a link of unknown capacity, admits all. It is immutable.
type Uploads struct {
	link         linkload.LinkLoad
	destinations map[destination]history
}

// New returns the state of a host with the given link.
func New(link linkload.LinkLoad) Uploads { return Uploads{link: link} }

// IsBounded reports whether the capacity of the host's link is known. If not, all bodies are admitted.
func (u Uploads) IsBounded() bool { return u.link.IsKnown() }

// WithOffer returns the state after a decision on a body, and the decision.
//
// Requests of sharded services are refused for overload of the owner of their keys, which says nothing of other keys. So only
// the link decides on them.
func (u Uploads) WithOffer(o upload.Upload, now time.Time) (Uploads, admission.Admission) {
	h := u.destinations[destination{o.Route, o.Service}]
	spread := o.Spread()
	if share := h.refusals.Share(now); !o.IsSharded && spread < share {
		// Within those that are refused the spread is even again.
		return u.withRefusedBytes(o, now), admission.Refused{Reason: admission.Overload, RetryAfter: h.refusals.RetryAfter(spread/share, now)}
	}
	objective := o.Objective.Sub(now)
	work := min(h.work.Mean(0), time.Duration(maxWorkShare*float64(objective)))
	if after, ok := u.link.Admit(o.Length, work, objective, o.Deadline.Sub(now), spread, now); !ok {
		return u.withRefusedBytes(o, now), admission.Refused{Reason: admission.Link, RetryAfter: after}
	}
	u.link = u.link.WithBody(o.ID, o.Length, now)
	return u, admission.Admitted{Weight: h.refusals.Weight(now)}
}

// withRefusedBytes returns the state with what the caller of a refused body sends of it all the same.
func (u Uploads) withRefusedBytes(o upload.Upload, now time.Time) Uploads {
	if o.Length < 0 || o.Length > maxRefusedBytes {
		o.Length = maxRefusedBytes
	}
	return u.WithShort(o.Length, now)
}

// WithRead returns the state after n bytes of an admitted body were read.
func (u Uploads) WithRead(id uint64, n int64) Uploads {
	u.link = u.link.WithRead(id, n)
	return u
}

// WithWhole returns the state after an admitted body was read to its end.
func (u Uploads) WithWhole(id uint64) Uploads {
	u.link = u.link.WithWhole(id)
	return u
}

// WithSending returns the state once an admitted body is being sent to a backend server.
func (u Uploads) WithSending(id uint64, now time.Time) Uploads {
	u.link = u.link.WithSending(id, now)
	return u
}

// Without returns the state without an admitted body, whose request has ended.
func (u Uploads) Without(id uint64) Uploads {
	u.link = u.link.Without(id)
	return u
}

// WithShort returns the state after bytes of short traffic on the link.
func (u Uploads) WithShort(bytes int64, now time.Time) Uploads {
	u.link = u.link.WithShort(bytes, now)
	return u
}

// WithServed returns the state after the response to an admitted body, with its weight and the time since the end of the body.
func (u Uploads) WithServed(o upload.Upload, weight float64, work time.Duration, now time.Time) Uploads {
	h := u.destinations[destination{o.Route, o.Service}]
	h.refusals, h.work = h.refusals.WithServed(weight, now), h.work.With(work)
	return u.with(o, h, now)
}

// WithRefused returns the state after the service has refused an admitted body for overload, with its weight.
func (u Uploads) WithRefused(o upload.Upload, weight float64, retryAfter time.Duration, now time.Time) Uploads {
	h := u.destinations[destination{o.Route, o.Service}]
	h.refusals = h.refusals.WithRefused(weight, retryAfter, now)
	return u.with(o, h, now)
}

// LinkBytes returns the bytes of admitted bodies that are still to cross the link, to or from the host.
func (u Uploads) LinkBytes(now time.Time) float64 { return u.link.Remaining(now) }

// Destinations returns the number of routes and services whose outcomes are kept.
func (u Uploads) Destinations() int { return len(u.destinations) }

// with returns the state with the history of a destination. Beyond maxDestinations, histories without an effect are dropped first.
func (u Uploads) with(o upload.Upload, h history, now time.Time) Uploads {
	next := make(map[destination]history, len(u.destinations)+1)
	maps.Copy(next, u.destinations)
	to := destination{o.Route, o.Service}
	if _, ok := next[to]; !ok && len(next) >= maxDestinations {
		maps.DeleteFunc(next, func(_ destination, old history) bool { return old.refusals.IsForgotten(now) })
		if len(next) >= maxDestinations {
			return u
		}
	}
	next[to] = h
	u.destinations = next
	return u
}
