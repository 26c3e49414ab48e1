package operator

// changeResponse reports an accepted change, or the effect that a dry run would have.
type changeResponse struct {
	ChangeID string
	Revision int64
	Summary  []string `json:",omitempty"`
	DryRun   bool     `json:",omitempty"`
}
