package simulation

import (
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/message"
)

// send carries a message to another host, unless it is lost.
func (d *Simulation) send(from *node, f effect.Send) {
	if d.IsMetered && isControl(f.Message) {
		size := d.sizeOf(from.name, f)
		d.usage[from.name] = d.usage[from.name].WithSent(size)
		d.usage[f.To] = d.usage[f.To].WithReceived(size)
	}
	to, ok := d.nodes[f.To]
	if !ok || d.cuts[[2]string{from.name, f.To}] || d.random.Float64() < d.Loss {
		return
	}
	e := event.MessageReceived{From: from.name, Message: f.Message}
	delay := d.delay()
	if d.random.Float64() < d.Late {
		delay += time.Duration(d.random.Int64N(int64(d.LateBy)))
	}
	d.deliverTo(to, delay, e)
	if d.random.Float64() < d.Double {
		d.deliverTo(to, d.delay()+time.Duration(d.random.Int64N(int64(200*time.Millisecond))), e)
	}
}

// sizeOf returns the bytes that a message takes on its connection.
func (d *Simulation) sizeOf(from string, f effect.Send) int {
	pair := [2]string{from, f.To}
	if d.wires[pair] == nil {
		d.wires[pair] = newWire()
	}
	return d.wires[pair].size(append([]byte(envelope), encode(f.Message)...))
}

func isControl(m message.Message) bool {
	switch m.(type) {
	case message.Forward, message.Forwarded:
		return false
	default:
		return true
	}
}

func (d *Simulation) delay() time.Duration {
	return time.Millisecond + time.Duration(d.random.Int64N(int64(3*time.Millisecond)))
}

// deliver gives an event to a host after a delay, unless it is gone by then.
func (d *Simulation) deliver(name string, delay time.Duration, e event.Event) {
	d.deliverTo(d.nodes[name], delay, e)
}

// deliverTo gives an event to one start of a host.
func (d *Simulation) deliverTo(n *node, delay time.Duration, e event.Event) {
	d.After(delay, func() {
		switch {
		case !n.isAlive:
		case n.isPaused:
			n.inbox = append(n.inbox, e)
		default:
			d.step(n, e)
		}
	})
}
