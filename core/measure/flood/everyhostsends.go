package flood

// everyHostSends is the system's own way, but with four entry hosts that each send to every backend server and share its
// slots between them, at least one each, without knowing of each other.
type everyHostSends struct{}

func (everyHostSends) policy() {}
