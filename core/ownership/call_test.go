package ownership_test

import (
	"time"

	"redwingsill/core/command"
	"redwingsill/core/instance"
	"redwingsill/core/proof"
)

// call is a command in flight to a server.
type call struct {
	arrivesAt time.Time
	from      *coordinator
	// named is the server that the command names. receiver is the server that got the call, or nil before it arrived.
	named    instance.Instance
	receiver *server
	// isUnsent is set if the coordinator couldn't reach the server.
	isUnsent bool
	// apply runs the command at the server, and answer passes the result to the coordinator. answer is nil once the
	// coordinator was told that the call is lost.
	apply  func(*server) command.Result
	answer func(command.Result)
	// lost is set if the coordinator gets the result Lost, whatever the server's was.
	lost bool
	// proof is what an answer to the call proves, and isCopied is set if a copy of the answer before it comes in place of a lost one.
	proof    proof.Proof
	isCopied bool
	// delay is the time from the arrival of the call until it takes effect.
	delay time.Duration
}

// run applies the call at its receiver.
func (c call) run() command.Result {
	switch {
	case c.isUnsent:
		return command.Unsent
	case !c.receiver.isAlive:
		return command.Lost
	case c.receiver.instance.ID != c.named.ID:
		return command.Replaced
	}
	return c.apply(c.receiver)
}
