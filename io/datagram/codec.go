package datagram

import (
	"errors"
	"time"

	"redwingsill/core/ask"
	"redwingsill/core/contact"
	"redwingsill/core/kind"
	"redwingsill/core/notice"
	"redwingsill/core/placement"
	"redwingsill/core/report"
)

// The first byte of a datagram tells its variant.
const (
	codeAsked byte = iota + 1
	codeQueued
	codePlaced
	codeRefused
	codeDropped
	codeReported
	codeHeld
	codePing
	codePong
	codeDeclined
	codeContactAsked
	codeContactTold
)

// reasons gives the codes of the reasons for a refusal.
var reasons = []placement.Reason{placement.Overload, placement.NoServers, placement.NoOwner, placement.Unreachable, placement.Expired}

// encode returns a notice as bytes. Times travel as what is left of them, since clocks differ.
func encode(n notice.Notice, now time.Time) []byte {
	w := writer{bytes: make([]byte, 0, 128)}
	switch n := n.(type) {
	case notice.Asked:
		w.code(codeAsked)
		w.ask(n.Ask, now)
	case notice.Queued:
		w.code(codeQueued)
		w.unsigned(n.Ticket)
	case notice.Placed:
		w.code(codePlaced)
		w.unsigned(n.Place.Ticket)
		w.text(n.Place.Life)
	case notice.Refused:
		w.code(codeRefused)
		w.unsigned(n.Refuse.Ticket)
		w.signed(int64(n.Refuse.RetryAfter))
		w.code(codeOf(n.Refuse.Reason))
	case notice.Declined:
		w.code(codeDeclined)
		w.unsigned(n.Ticket)
	case notice.Dropped:
		w.code(codeDropped)
		w.text(n.Service)
		w.unsigned(n.Ticket)
	case notice.Reported:
		w.code(codeReported)
		w.text(n.Service)
		w.report(n.Report)
	case notice.Held:
		w.code(codeHeld)
		w.text(n.Service)
		w.unsigned(uint64(n.Host))
		w.unsigned(uint64(len(n.Tickets)))
		for _, t := range n.Tickets {
			w.unsigned(t)
		}
	case notice.Ping:
		w.code(codePing)
	case notice.Pong:
		w.code(codePong)
	case notice.ContactAsked:
		w.code(codeContactAsked)
		w.signed(n.Coordinator)
	case notice.ContactTold:
		w.code(codeContactTold)
		w.signed(int64(now.Sub(n.Contact.Since)))
		w.signed(int64(now.Sub(n.Contact.Last)))
		w.signed(n.Contact.Coordinator)
	}
	return w.bytes
}

func codeOf(reason placement.Reason) byte {
	for i, r := range reasons {
		if r == reason {
			return byte(i)
		}
	}
	return 0
}

// decode returns the notice in a datagram. Errors are an [*Error] of kind Invalid.
func decode(b []byte, now time.Time) (notice.Notice, error) {
	r := reader{bytes: b}
	n := r.notice(now)
	if r.isShort || n == nil || len(r.bytes) > 0 {
		return nil, newError("decode a datagram", kind.Invalid, errors.New("the datagram is not a notice"))
	}
	return n, nil
}

func (r *reader) notice(now time.Time) notice.Notice {
	switch r.code() {
	case codeAsked:
		return notice.Asked{Ask: r.ask(now)}
	case codeQueued:
		return notice.Queued{Ticket: r.unsigned()}
	case codePlaced:
		return notice.Placed{Place: placement.Place{Ticket: r.unsigned(), Life: r.text()}}
	case codeRefused:
		refuse := placement.Refuse{Ticket: r.unsigned(), RetryAfter: time.Duration(r.signed())}
		code := int(r.code())
		if code >= len(reasons) {
			return nil
		}
		refuse.Reason = reasons[code]
		return notice.Refused{Refuse: refuse}
	case codeDeclined:
		return notice.Declined{Ticket: r.unsigned()}
	case codeDropped:
		return notice.Dropped{Service: r.text(), Ticket: r.unsigned()}
	case codeReported:
		return notice.Reported{Service: r.text(), Report: r.report()}
	case codeHeld:
		held := notice.Held{Service: r.text(), Host: uint32(r.unsigned())}
		for range min(r.unsigned(), mostHeld) {
			held.Tickets = append(held.Tickets, r.unsigned())
		}
		return held
	case codePing:
		return notice.Ping{}
	case codePong:
		return notice.Pong{}
	case codeContactAsked:
		return notice.ContactAsked{Coordinator: r.signed()}
	case codeContactTold:
		since, last := time.Duration(r.signed()), time.Duration(r.signed())
		return notice.ContactTold{Contact: contact.Contact{Since: now.Add(-since), Last: now.Add(-last), Coordinator: r.signed()}}
	}
	return nil
}

func (w *writer) ask(a ask.Ask, now time.Time) {
	flags := byte(0)
	if a.IsRepeat {
		flags |= 1
	}
	if a.MayRepeat {
		flags |= 2
	}
	w.unsigned(a.Ticket)
	w.text(a.DataCentre)
	w.text(a.Service)
	w.signed(int64(a.Key))
	w.signed(int64(a.Rank))
	w.signed(int64(a.Objective.Sub(now) / time.Microsecond))
	w.signed(int64(a.Deadline.Sub(now) / time.Microsecond))
	w.code(flags)
	w.unsigned(uint64(len(a.Excluded)))
	for _, life := range a.Excluded {
		w.text(life)
	}
}

func (r *reader) ask(now time.Time) ask.Ask {
	a := ask.Ask{Ticket: r.unsigned(), DataCentre: r.text(), Service: r.text(), Key: int(r.signed()), Rank: int(r.signed())}
	a.Objective = now.Add(time.Duration(r.signed()) * time.Microsecond)
	a.Deadline = now.Add(time.Duration(r.signed()) * time.Microsecond)
	flags := r.code()
	a.IsRepeat, a.MayRepeat = flags&1 != 0, flags&2 != 0
	for range min(r.unsigned(), mostHeld) {
		a.Excluded = append(a.Excluded, r.text())
	}
	return a
}

func (w *writer) report(p report.Report) {
	w.unsigned(p.Ticket)
	w.text(p.Life)
	w.code(byte(p.Result))
	w.signed(int64(p.Took / time.Microsecond))
	w.signed(int64(p.Running))
	w.signed(int64(p.Waiting))
}

func (r *reader) report() report.Report {
	return report.Report{Ticket: r.unsigned(), Life: r.text(), Result: report.Result(r.code()),
		Took: time.Duration(r.signed()) * time.Microsecond, Running: int(r.signed()), Waiting: int(r.signed())}
}
