package notice

import "redwingsill/core/report"

// Reported gives a slot back.
type Reported struct {
	Service string
	Report  report.Report
}

func (Reported) notice() {}
