package flood

// everyHostSends is the [ranked] policy without an exclusive lease holder: [sendingHosts] entry hosts send to every backend
// server without coordination. Each uses an equal share of the server's slots, rounded down, but at least one slot.
type everyHostSends struct{}

func (everyHostSends) policy() {}
