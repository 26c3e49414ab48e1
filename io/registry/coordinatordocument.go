package registry

// coordinatorDocument is the value of the coordinator's key.
type coordinatorDocument struct {
	// Name is the name of the host that is the coordinator.
	Name string
	// WriteID differs between campaigns. It shows whether a write without a response took effect.
	WriteID string `json:"Mark"`
}
