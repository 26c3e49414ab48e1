package event

import (
	"redwingsill/core/assignment"
	"redwingsill/core/configuration"
)

// Assigned tells a steward the assignment and configuration in force.
type Assigned struct {
	Server        string
	Assignment    assignment.Assignment
	Configuration configuration.Configuration
}

func (Assigned) event() {}

// ServerName implements [ServerEvent].
func (e Assigned) ServerName() string { return e.Server }
