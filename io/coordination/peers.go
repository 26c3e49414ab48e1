package coordination

import "redwingsill/core/reachability"

// Peers is the other entry hosts. It is a slotclient.SlotClient.
type Peers interface {
	// IsSilent reports whether a host does not answer.
	IsSilent(host string) bool
	// AskContacts tells all hosts of the coordinator of a revision and asks for their contact with the store, and Contacts
	// returns what they told just now.
	AskContacts(coordinator int64)
	Contacts() []reachability.Reachability
}
