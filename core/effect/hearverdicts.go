package effect

// HearVerdicts asks for the monitoring group's verdicts.
type HearVerdicts struct{}

func (HearVerdicts) effect() {}
