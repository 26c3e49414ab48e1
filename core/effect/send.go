package effect

import "redwingsill/core/message"

// Send sends a message to an entry host, without guaranteed delivery.
type Send struct {
	To      string
	Message message.Message
}

func (Send) effect() {}
