package effect

// ReadVerdicts requests the list of backend servers that the monitoring system reports as down.
type ReadVerdicts struct{}

func (ReadVerdicts) effect() {}
