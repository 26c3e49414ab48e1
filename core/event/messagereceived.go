package event

import "redwingsill/core/message"

// MessageReceived is a message from another entry host.
type MessageReceived struct {
	From    string
	Message message.Message
}

func (MessageReceived) event() {}
