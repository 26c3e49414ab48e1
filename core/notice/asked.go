package notice

import "redwingsill/core/ask"

// Asked wants a slot.
type Asked struct{ Ask ask.Ask }

func (Asked) notice() {}
