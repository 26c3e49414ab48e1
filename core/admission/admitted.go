package admission

// Admitted lets the body be read.
type Admitted struct {
	// Weight is the number of requests for which this one stands: it and those that are refused for overload meanwhile.
	Weight float64
}

func (Admitted) admission() {}
