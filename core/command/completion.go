package command

// Completion is the result of one command.
type Completion struct {
	ID     int64
	Result Result
}
