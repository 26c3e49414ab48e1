package registry

import "redwingsill/core/era"

// coordinatorDocument is the value of the coordinator's key.
type coordinatorDocument struct {
	// Name is the name of the host that is the coordinator.
	Name string
	// WriteID differs between campaigns. It shows whether a write without a response took effect.
	WriteID string `json:"Mark"`
	// Era is the era of the store in which the coordinator was elected. A key with an earlier one than the current is from a copy.
	Era era.Era `json:",omitempty"`
}
