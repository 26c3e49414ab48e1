// Package submission defines the JSON format in which operators submit changes of the configuration.
package submission

import (
	"encoding/json"
	"errors"

	"redwingsill/core/change"
	"redwingsill/core/configuration"
	"redwingsill/core/kind"
	"redwingsill/core/resource"
)

// Submission is the JSON body of a request to change the configuration. Declare and Remove list resources in the format
// of a configuration file; for resources to remove, only Kind and Name are used.
type Submission struct {
	// ID identifies the change, and By names its author. Both are required.
	ID string
	By string
	// ExpectedRevision is the configuration revision on which the change is based.
	ExpectedRevision int64
	Declare          []json.RawMessage `json:",omitempty"`
	Remove           []json.RawMessage `json:",omitempty"`
	// DryRun asks for the effect of the change without applying it.
	DryRun bool `json:",omitempty"`
}

// Change parses the submission into a change. Each error is an [*Error], or a *configuration.Error of kind Invalid.
func (s Submission) Change() (change.Change, error) {
	if s.ID == "" || s.By == "" {
		return change.Change{}, newError("read change", kind.Invalid, errors.New("the fields ID and By are needed"))
	}
	declare, err := parseResources(s.Declare)
	if err != nil {
		return change.Change{}, err
	}
	remove, err := parseResources(s.Remove)
	if err != nil {
		return change.Change{}, err
	}
	return change.Change{ID: s.ID, By: s.By, ExpectedRevision: s.ExpectedRevision, Declare: declare, Remove: remove}, nil
}

func parseResources(raws []json.RawMessage) ([]resource.Resource, error) {
	text, err := json.Marshal(struct{ Resources []json.RawMessage }{raws})
	if err != nil {
		return nil, newError("read change", kind.Invalid, err)
	}
	return configuration.ParseResources(text)
}
