package operator

// accepted answers a change.
type accepted struct {
	ChangeID string
	Revision int64
	Summary  []string `json:",omitempty"`
	DryRun   bool     `json:",omitempty"`
}
