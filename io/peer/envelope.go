package peer

import (
	"encoding/json"
	"fmt"

	"redwingsill/core/kind"
	"redwingsill/core/message"
	"redwingsill/core/outcome"
)

// envelope is the wire form of a message: its kind, a name for its variant, and its fields as JSON.
type envelope struct {
	Kind    string
	Message json.RawMessage
}

// encode returns the envelope of a message. The error is an [*Error] of kind Invalid.
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
		name, value = "Told", newWireForwarded(m)
	}
	fields, err := json.Marshal(value)
	if err != nil {
		return envelope{}, newError("encode", kind.Invalid, err)
	}
	return envelope{Kind: name, Message: fields}, nil
}

// decode returns the message in an envelope. The error is an [*Error] of kind Invalid.
func decode(e envelope) (message.Message, error) {
	switch e.Kind {
	case "Follow":
		return unmarshal[message.Follow](e)
	case "Followed":
		return unmarshal[message.Followed](e)
	case "Report":
		return unmarshal[message.Report](e)
	case "Beat":
		return unmarshal[message.Heartbeat](e)
	case "Adopt":
		return unmarshal[message.Adopt](e)
	case "Adopted":
		return unmarshal[message.Adopted](e)
	case "Ask":
		return unmarshal[message.Forward](e)
	case "Told":
		var w wireForwarded
		if err := json.Unmarshal(e.Message, &w); err != nil {
			return nil, newError("decode", kind.Invalid, err)
		}
		return w.decode()
	}
	return nil, newError("decode", kind.Invalid, fmt.Errorf("unknown message kind %q", e.Kind))
}

// unmarshal decodes the fields of a message of type M.
func unmarshal[M message.Message](e envelope) (message.Message, error) {
	var m M
	if err := json.Unmarshal(e.Message, &m); err != nil {
		return nil, newError("decode", kind.Invalid, err)
	}
	return m, nil
}

// newWireForwarded returns the wire form of the response to a forwarded request.
func newWireForwarded(m message.Forwarded) wireForwarded {
	w := wireForwarded{Ticket: m.Ticket, Load: m.Load, LeaseHolder: m.LeaseHolder}
	switch o := m.Outcome.(type) {
	case outcome.Answered:
		w.Answered = &o
	case outcome.NotRun:
		w.NotRun = &o
	case outcome.Unknown:
		w.Unknown = &o
	}
	return w
}

// decode returns the response in its wire form. It is an error if no outcome is set.
func (w wireForwarded) decode() (message.Message, error) {
	m := message.Forwarded{Ticket: w.Ticket, Load: w.Load, LeaseHolder: w.LeaseHolder}
	switch {
	case w.Answered != nil:
		m.Outcome = *w.Answered
	case w.NotRun != nil:
		m.Outcome = *w.NotRun
	case w.Unknown != nil:
		m.Outcome = *w.Unknown
	default:
		return nil, newError("decode", kind.Invalid, fmt.Errorf("the response has no outcome"))
	}
	return m, nil
}
