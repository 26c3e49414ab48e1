package admission

// Admitted lets the body be read.
type Admitted struct{}

func (Admitted) admission() {}
