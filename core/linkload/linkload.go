// Package linkload decides whether an entry host admits a long body, by what is under way on the host's link. The load that
// it answers: bursts of uploads of some 60 KB saturate links of 10 Mbit/s, so that short requests wait a second behind them.
package linkload

import (
	"maps"
	"time"

	"redwingsill/core/transfer"
)

const (
	// busyDelay and idleDelay are how long a packet of a short request may wait behind bodies, on a link that has been busy with
	// them and on one that has been idle. Short requests have objectives of a few hundred milliseconds, of which the work takes
	// a third. On a link that is mostly idle few of them meet a body, and the shorter delay would refuse one body in
	// twelve there.
	busyDelay, idleDelay = 150 * time.Millisecond, 500 * time.Millisecond
	// rateWindow is the time over which the rates of bodies and of short traffic are averaged.
	rateWindow = 2 * time.Second
	// minBodyShare is the part of the link that counts as free for bodies however much short traffic there is, as the
	// rate of short traffic is an estimate.
	minBodyShare = 0.2
	// minRetryAfter is the shortest Retry-After. Another host may have room at once.
	minRetryAfter = 50 * time.Millisecond
	// assumedLength is assumed of a body whose length is not announced, in bytes.
	assumedLength = 64 << 10
	// bitsPerByte and bitsPerMegabit convert the capacity of a link.
	bitsPerByte, bitsPerMegabit = 8, 1e6
)

// LinkLoad is what is under way on a host's link. The zero value is a link of unknown capacity, which admits every body. It is
// immutable.
type LinkLoad struct {
	// bytesPerSecond is the capacity, in both directions together.
	bytesPerSecond float64
	bodies         map[uint64]transfer.Transfer
	// shortRate is the rate of short traffic, and bodyRate that of admitted bodies, in bytes a second over the link.
	shortRate, bodyRate trafficRate
}

// New returns an idle link of the given capacity in Mbit/s. 0 means that it is unknown.
func New(mbps float64) LinkLoad { return LinkLoad{bytesPerSecond: mbps * bitsPerMegabit / bitsPerByte} }

// IsKnown reports whether the capacity is known.
func (l LinkLoad) IsKnown() bool { return l.bytesPerSecond > 0 }

// WithBody returns the load with a body that was admitted. Its length is -1 if it was not announced.
func (l LinkLoad) WithBody(id uint64, length int64, now time.Time) LinkLoad {
	l.bodyRate = l.bodyRate.with(2*float64(lengthOf(length)), now)
	return l.with(id, transfer.New(lengthOf(length), now))
}

// WithRead returns the load after n bytes of a body were read.
func (l LinkLoad) WithRead(id uint64, n int64) LinkLoad {
	t, ok := l.bodies[id]
	if !ok {
		return l
	}
	return l.with(id, t.WithRead(n))
}

// WithWhole returns the load after a body was read to its end.
func (l LinkLoad) WithWhole(id uint64) LinkLoad {
	t, ok := l.bodies[id]
	if !ok {
		return l
	}
	return l.with(id, t.WithWhole())
}

// WithSending returns the load once a body is being sent to a backend server, for the first time or again.
func (l LinkLoad) WithSending(id uint64, now time.Time) LinkLoad {
	t, ok := l.bodies[id]
	if !ok {
		return l
	}
	return l.with(id, t.WithSending(now))
}

// Without returns the load without a body, whose request has ended.
func (l LinkLoad) Without(id uint64) LinkLoad {
	l.bodies = maps.Clone(l.bodies)
	delete(l.bodies, id)
	return l
}

// WithShort returns the load after bytes of short traffic.
func (l LinkLoad) WithShort(bytes int64, now time.Time) LinkLoad {
	l.shortRate = l.shortRate.with(float64(bytes), now)
	return l
}

// Remaining returns the bytes of bodies that are still to cross the link, in both directions together.
func (l LinkLoad) Remaining(now time.Time) float64 {
	sum := 0.0
	for _, t := range l.bodies {
		sum += t.Remaining(now, l.bytesPerSecond)
	}
	return sum
}

// Admit reports whether a body may be read now: it leaves room for short requests, and with what is under way it is read and
// sent on so early that after the time for its work the objective is met. If not even an idle link would allow that, the
// deadline counts. The objective and the deadline are the times left. For a body that is not admitted, Admit returns after what
// time there is room. The spread, from 0 to 1, distributes the returns of callers.
func (l LinkLoad) Admit(length int64, work, objective, deadline time.Duration, spread float64, now time.Time) (after time.Duration, ok bool) {
	if !l.IsKnown() {
		return 0, true
	}
	own := 2 * float64(lengthOf(length))
	rate := max(minBodyShare*l.bytesPerSecond, l.bytesPerSecond-l.shortRate.at(now))
	delay := l.maxDelay(now)
	queued := 0.0
	for _, t := range l.bodies {
		queued += t.Queued(now, l.bytesPerSecond, delay)
	}
	limit := objective
	if duration(own/rate)+work > objective {
		limit = deadline
	}
	remaining := l.Remaining(now)
	excess := queued + own/2 - l.bytesPerSecond*delay.Seconds()
	if queued == 0 {
		excess = 0 // a body that is longer than the room for bodies passes alone
	}
	late := duration((remaining+own)/rate) + work - limit
	if excess <= 0 && late <= 0 {
		return 0, true
	}
	room := min(max(duration(excess/rate), late), duration(remaining/rate))
	return max(minRetryAfter, room) + time.Duration(spread*float64(max(minRetryAfter, room))), false
}

// maxDelay returns how long a packet may wait behind bodies.
func (l LinkLoad) maxDelay(now time.Time) time.Duration {
	idle := max(0, 1-l.bodyRate.at(now)/l.bytesPerSecond)
	return busyDelay + time.Duration(idle*float64(idleDelay-busyDelay))
}

func (l LinkLoad) with(id uint64, t transfer.Transfer) LinkLoad {
	next := make(map[uint64]transfer.Transfer, len(l.bodies)+1)
	maps.Copy(next, l.bodies)
	next[id] = t
	l.bodies = next
	return l
}

func lengthOf(announced int64) int64 {
	if announced < 0 {
		return assumedLength
	}
	return announced
}

func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}
