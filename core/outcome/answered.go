package outcome

// Answered is a complete answer of a backend server.
type Answered struct {
	// Status is the status code that the backend server returned.
	Status int
	// Attributes hold the metadata of the answer, such as headers, in the encoding of the front end.
	Attributes map[string]string `json:",omitempty"`
	Body       []byte            `json:",omitempty"`
	// IsReplayed marks a stored answer to an earlier request with the same request ID.
	IsReplayed bool `json:"Kept,omitempty"`
}

func (Answered) outcome() {}
