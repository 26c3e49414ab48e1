package effect

// ReadVerdicts requests the monitoring system's verdicts.
type ReadVerdicts struct{}

func (ReadVerdicts) effect() {}
