package peer

import (
	"encoding/json"
	"fmt"

	"redwingsill/core/kind"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
)

// envelope is the form of a message on the wire: the name of its variant and its fields.
type envelope struct {
	Kind    string
	Message json.RawMessage
}

// encode returns the wire form of a message.
func encode(m message.Message) (envelope, error) {
	var name string
	var value any = m
	switch m := m.(type) {
	case message.Follow:
		name = "Follow"
	case message.Followed:
		name = "Followed"
	case message.Report:
		name = "Report"
	case message.Heartbeat:
		name = "Beat"
	case message.Adopt:
		name = "Adopt"
	case message.Adopted:
		name = "Adopted"
	case message.Forward:
		name = "Ask"
	case message.Forwarded:
		name, value = "Told", toldOf(m)
	}
	text, err := json.Marshal(value)
	if err != nil {
		return envelope{}, newError("encode", kind.Invalid, err)
	}
	return envelope{Kind: name, Message: text}, nil
}

// decode returns the message of a wire form.
func decode(e envelope) (message.Message, error) {
	switch e.Kind {
	case "Follow":
		return parse[message.Follow](e)
	case "Followed":
		return parse[message.Followed](e)
	case "Report":
		return parse[message.Report](e)
	case "Beat":
		return parse[message.Heartbeat](e)
	case "Adopt":
		return parse[message.Adopt](e)
	case "Adopted":
		return parse[message.Adopted](e)
	case "Ask":
		return parse[message.Forward](e)
	case "Told":
		var t told
		if err := json.Unmarshal(e.Message, &t); err != nil {
			return nil, newError("decode", kind.Invalid, err)
		}
		return t.message()
	}
	return nil, newError("decode", kind.Invalid, fmt.Errorf("unknown kind %q", e.Kind))
}

func parse[M message.Message](e envelope) (message.Message, error) {
	var m M
	if err := json.Unmarshal(e.Message, &m); err != nil {
		return nil, newError("decode", kind.Invalid, err)
	}
	return m, nil
}

func toldOf(m message.Forwarded) told {
	t := told{Ticket: m.Ticket, Load: m.Load, Steward: m.LeaseHolder}
	switch o := m.Outcome.(type) {
	case outcome.Answered:
		t.Answered = &o
	case outcome.NotRun:
		t.NotRun = &o
	case outcome.Unknown:
		t.Unknown = &o
	}
	return t
}

func (t told) message() (message.Message, error) {
	m := message.Forwarded{Ticket: t.Ticket, Load: t.Load, LeaseHolder: t.Steward}
	switch {
	case t.Answered != nil:
		m.Outcome = *t.Answered
	case t.NotRun != nil:
		m.Outcome = *t.NotRun
	case t.Unknown != nil:
		m.Outcome = *t.Unknown
	default:
		return nil, newError("decode", kind.Invalid, fmt.Errorf("an answer without an outcome"))
	}
	return m, nil
}
