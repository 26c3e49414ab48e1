package operator

// changeResponse reports an accepted change or, in a dry run, the effect that the change would have.
type changeResponse struct {
	ChangeID string
	// Revision is the configuration revision that the change created or, in a dry run, would create.
	Revision int64
	// Summary lists the differences that the change makes to the configuration. It is empty if the change was stored
	// before the request.
	Summary []string `json:",omitempty"`
	DryRun  bool     `json:",omitempty"`
}
