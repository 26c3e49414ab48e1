package flood

// everyHostSends is the [ranked] policy without an exclusive lease holder: four entry hosts each send to every backend
// server, uncoordinated, and divide its slots equally, with at least one slot each.
type everyHostSends struct{}

func (everyHostSends) policy() {}
