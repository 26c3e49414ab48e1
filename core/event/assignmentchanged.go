package event

import (
	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
)

// AssignmentChanged passes the current assignment and configuration to a lease holder.
type AssignmentChanged struct {
	Server        string
	Assignment    assignment.Assignment
	Configuration configuration.Configuration
}

func (AssignmentChanged) event() {}

// ServerName implements [ServerEvent].
func (e AssignmentChanged) ServerName() string { return e.Server }
