package event

import "redwingsill/core/message"

// Received is a message from another entry host.
type Received struct {
	From    string
	Message message.Message
}

func (Received) event() {}
