package outcome

// Answered is the whole answer of a backend server.
type Answered struct {
	// Status is the backend server's own status.
	Status int
	// Attributes carry what the answer says beside its body, in the words of the front end.
	Attributes map[string]string `json:",omitempty"`
	Body       []byte            `json:",omitempty"`
	// Kept marks an outcome that was kept from an earlier run of the same request id.
	Kept bool `json:",omitempty"`
}

func (Answered) outcome() {}
