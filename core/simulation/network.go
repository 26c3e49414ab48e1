package simulation

import (
	"time"

	"redwingsill/core/effect"
	"redwingsill/core/event"
	"redwingsill/core/message"
)

// send delivers a message to another host, subject to partitions and to the configured loss, delay and duplication. Lost
// messages are metered too.
func (sim *Simulation) send(from *node, f effect.Send) {
	if sim.IsMetered && isControlMessage(f.Message) {
		size := sim.messageSize(from.name, f)
		sim.usage[from.name] = sim.usage[from.name].WithSent(size)
		sim.usage[f.To] = sim.usage[f.To].WithReceived(size)
	}
	to, ok := sim.nodes[f.To]
	if !ok || sim.partitions[[2]string{from.name, f.To}] || sim.random.Float64() < sim.LossRate {
		return
	}
	e := event.MessageReceived{From: from.name, Message: f.Message}
	delay := sim.networkDelay()
	if sim.random.Float64() < sim.DelayRate {
		delay += time.Duration(sim.random.Int64N(int64(sim.MaxDelay)))
	}
	sim.deliverToNode(to, delay, e)
	if sim.random.Float64() < sim.DuplicationRate {
		sim.deliverToNode(to, sim.networkDelay()+time.Duration(sim.random.Int64N(int64(200*time.Millisecond))), e)
	}
}

// messageSize returns the number of bytes that a message takes on its connection.
func (sim *Simulation) messageSize(from string, f effect.Send) int {
	pair := [2]string{from, f.To}
	if sim.meters[pair] == nil {
		sim.meters[pair] = newConnectionMeter()
	}
	return sim.meters[pair].size(append([]byte(rpcEnvelope), encodeJSON(f.Message)...))
}

// isControlMessage reports whether a message belongs to the control protocol rather than to a forwarded request.
func isControlMessage(m message.Message) bool {
	switch m.(type) {
	case message.Forward, message.Forwarded:
		return false
	default:
		return true
	}
}

// networkDelay draws a one-way delay of 1 ms to 4 ms.
func (sim *Simulation) networkDelay() time.Duration {
	return time.Millisecond + time.Duration(sim.random.Int64N(int64(3*time.Millisecond)))
}

// deliver delivers an event to the current incarnation of a host after a delay.
func (sim *Simulation) deliver(name string, delay time.Duration, e event.Event) {
	sim.deliverToNode(sim.nodes[name], delay, e)
}

// deliverToNode delivers an event to one incarnation of a host after a delay. It drops the event if that incarnation is no
// longer alive, and queues it while the host is paused.
func (sim *Simulation) deliverToNode(n *node, delay time.Duration, e event.Event) {
	sim.After(delay, func() {
		switch {
		case !n.isAlive:
		case n.isPaused:
			n.backlog = append(n.backlog, e)
		default:
			sim.step(n, e)
		}
	})
}
