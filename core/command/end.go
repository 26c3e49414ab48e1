package command

// End is how one order ended.
type End struct {
	ID     int64
	Result Result
}
