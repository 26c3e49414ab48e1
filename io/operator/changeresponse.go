package operator

// changeResponse reports an accepted change or, in a dry run, the effect that the change would have.
type changeResponse struct {
	ChangeID string
	Revision int64
	Summary  []string `json:",omitempty"`
	DryRun   bool     `json:",omitempty"`
}
