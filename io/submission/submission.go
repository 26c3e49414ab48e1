// Package submission holds the form in which operators submit changes.
package submission

import (
	"encoding/json"

	"redwingsill/core/change"
	"redwingsill/core/configuration"
	"redwingsill/core/kind"
	"redwingsill/core/resource"

	"errors"
)

// Submission is the body of a change. Declare and Remove list resources as a configuration file does; of those to
// remove only Kind and Name matter.
type Submission struct {
	ID               string
	By               string
	ExpectedRevision int64
	Declare          []json.RawMessage `json:",omitempty"`
	Remove           []json.RawMessage `json:",omitempty"`
	DryRun           bool              `json:",omitempty"`
}

// Change returns the change that the submission stands for. Errors are an [*Error], or a *configuration.Error of kind
// Invalid.
func (s Submission) Change() (change.Change, error) {
	if s.ID == "" || s.By == "" {
		return change.Change{}, newError("read change", kind.Invalid, errors.New("the fields ID and By are needed"))
	}
	declare, err := resources(s.Declare)
	if err != nil {
		return change.Change{}, err
	}
	remove, err := resources(s.Remove)
	if err != nil {
		return change.Change{}, err
	}
	return change.Change{ID: s.ID, By: s.By, ExpectedRevision: s.ExpectedRevision, Declare: declare, Remove: remove}, nil
}

func resources(raws []json.RawMessage) ([]resource.Resource, error) {
	text, err := json.Marshal(struct{ Resources []json.RawMessage }{raws})
	if err != nil {
		return nil, newError("read change", kind.Invalid, err)
	}
	return configuration.ParseResources(text)
}
