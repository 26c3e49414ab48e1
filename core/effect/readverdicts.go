package effect

// ReadVerdicts requests the monitoring group's verdicts.
type ReadVerdicts struct{}

func (ReadVerdicts) effect() {}
