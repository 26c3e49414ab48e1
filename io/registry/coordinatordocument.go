package registry

// coordinatorDocument is the value of the coordinator's key.
type coordinatorDocument struct {
	Name    string
	WriteID string `json:"Mark"`
}
